/// A program that the soak started, and the only kind of process that it ends.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace soak
{

/// Ends with the object.
class child_process
{
public:
    /// `output` receives standard output, appended. Throws std::system_error
    /// if the program cannot be started.
    child_process(std::vector<std::string> command, std::string output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Starts the program again after it has ended.
    void start();
    /// Sends a signal, unless the process has ended.
    void signal(int number) const;
    /// Waits for the end and returns the wait status.
    int wait();
    /// Whether the process has ended by itself; collects its status.
    bool has_ended();
    bool is_running() const { return pid_ > 0; }

private:
    std::vector<std::string> command_;
    std::string output_;
    pid_t pid_ = 0;
};

} // namespace soak
