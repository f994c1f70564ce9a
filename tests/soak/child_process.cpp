#include "child_process.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>

extern char** environ;

namespace soak
{

child_process::child_process(std::vector<std::string> command,
                             std::string output_file)
    : command_(std::move(command)), output_file_(std::move(output_file))
{
    start();
}

child_process::~child_process()
{
    if (pid_ <= 0)
        return;
    // A stopped process is continued, since the soak test may have paused it.
    send_signal(SIGCONT);
    send_signal(SIGKILL);
    wait_for_exit();
}

void child_process::start()
{
    if (pid_ > 0)
        return;
    std::vector<char*> arguments;
    for (auto& argument : command_)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A socket that a child inherits stays open after this process closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = 0;
    const int spawn_error = ::posix_spawn(&pid, arguments[0], &actions, nullptr,
                                          arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0)
        throw std::system_error(spawn_error, std::generic_category(),
                                command_[0]);
    pid_ = pid;
}

void child_process::send_signal(int signal_number) const
{
    if (pid_ > 0)
        ::kill(pid_, signal_number);
}

int child_process::wait_for_exit()
{
    int status = 0;
    while (pid_ > 0 && ::waitpid(pid_, &status, 0) < 0 && errno == EINTR)
        continue;
    pid_ = 0;
    return status;
}

bool child_process::collect_exit_status()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return false;
    pid_ = 0;
    return true;
}

} // namespace soak
