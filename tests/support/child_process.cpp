#include "support/child_process.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dandelionstep::testing {
namespace {

std::string program_path(const std::string& program)
{
    const char* folder = std::getenv("DANDELIONSTEP_BIN");
    return std::string(folder == nullptr ? "build/bin" : folder) + "/" + program;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int decode_status(int status)
{
    constexpr int signal_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_path)
{
    std::string path = program_path(program);
    std::vector<std::string> copies = arguments;
    std::vector<char*> raw{path.data()};
    for (std::string& argument : copies) {
        raw.push_back(argument.data());
    }
    raw.push_back(nullptr);
    std::array<int, 2> channel{};
    if (pipe2(channel.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->pid = fork();
    if (this->pid == 0) {
        // A test that is cut down must not leave its programs behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        // A program has to see to this signal itself.
        std::signal(SIGPIPE, SIG_DFL);
        dup2(channel[1], STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(path.c_str(), raw.data());
        _exit(127);
    }
    close(channel[1]);
    close(log);
    this->output = channel[0];
}

child_process::~child_process()
{
    this->kill();
}

child_process::child_process(child_process&& other) noexcept
    : pid(std::exchange(other.pid, -1)), output(std::exchange(other.output, -1)),
      exit_status(other.exit_status)
{}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        this->kill();
        this->pid = std::exchange(other.pid, -1);
        this->output = std::exchange(other.output, -1);
        this->exit_status = other.exit_status;
    }
    return *this;
}

std::string child_process::read_line()
{
    std::string line;
    char next = 0;
    while (read(this->output, &next, 1) == 1 && next != '\n') {
        line += next;
    }
    return line;
}

std::string child_process::read_rest()
{
    std::string rest;
    std::array<char, 4096> part{};
    ssize_t count = 0;
    while ((count = read(this->output, part.data(), part.size())) > 0) {
        rest.append(part.data(), static_cast<std::size_t>(count));
    }
    return rest;
}

void child_process::signal(int number) const
{
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

// A process takes the signal only when it next runs.
bool child_process::freeze() const
{
    constexpr int most_looks = 200;
    constexpr std::chrono::milliseconds between_looks{5};
    this->signal(SIGSTOP);
    for (int i = 0; i < most_looks; ++i) {
        if (read_file("/proc/" + std::to_string(this->pid) + "/stat").find(") T ") != std::string::npos) {
            return true;
        }
        std::this_thread::sleep_for(between_looks);
    }
    return false;
}

int child_process::wait()
{
    if (this->pid > 0) {
        int status = 0;
        waitpid(this->pid, &status, 0);
        this->exit_status = decode_status(status);
        this->pid = -1;
    }
    if (this->output >= 0) {
        close(std::exchange(this->output, -1));
    }
    return this->exit_status;
}

void child_process::kill()
{
    this->signal(SIGKILL);
    this->wait();
}

bool child_process::running()
{
    if (this->pid <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->exit_status = decode_status(status);
        this->pid = -1;
    }
    return this->pid > 0;
}

finished_program run_program(const std::string& program, const std::vector<std::string>& arguments)
{
    const scratch_folder folder;
    child_process child(program, arguments, folder.path("errors"));
    finished_program finished;
    finished.output = child.read_rest();
    finished.exit_status = child.wait();
    finished.errors = read_file(folder.path("errors"));
    return finished;
}

scratch_folder::scratch_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "dandelionstep-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no scratch folder");
    }
    this->root = pattern;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->root, ignored);
}

std::string scratch_folder::write(const std::string& name, const std::string& text) const
{
    std::ofstream(this->path(name)) << text;
    return this->path(name);
}

} // namespace dandelionstep::testing
