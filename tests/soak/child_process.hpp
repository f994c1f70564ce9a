/// Starts, signals and waits for the processes of the soak test. The soak test
/// ends no other processes.
#pragma once

#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace soak
{

/// A child process. The destructor kills it if it is still running and waits
/// for its exit. Not thread-safe.
class child_process
{
public:
    /// Starts a program; `command` consists of its path and its arguments. The
    /// file `output_file` receives its standard output and standard error,
    /// which are appended. Throws std::system_error if the program cannot be
    /// started.
    child_process(std::vector<std::string> command, std::string output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Starts the program again with the same arguments. Does nothing unless
    /// wait_for_exit() or collect_exit_status() has collected the exit status
    /// of the previous process. Throws std::system_error if the program cannot
    /// be started.
    void start();
    /// Sets the path of the program that the next start() runs.
    void set_program(std::string path) { command_.front() = std::move(path); }
    /// Sends a signal. Does nothing if the exit status has been collected.
    void send_signal(int signal_number) const;
    /// Waits until the process exits and returns its status in the format of
    /// waitpid(); 0 if the status has already been collected.
    int wait_for_exit();
    /// Collects the exit status if the process has exited. Returns true only if
    /// this call collected it. Does not wait.
    bool collect_exit_status();
    /// Returns whether the process is running or has exited without its status
    /// having been collected.
    bool is_running() const { return pid_ > 0; }

private:
    std::vector<std::string> command_;
    std::string output_file_;
    /// 0 if the exit status has been collected.
    pid_t pid_ = 0;
};

} // namespace soak
