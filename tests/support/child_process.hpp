#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace dandelionstep::testing {

//! A program that a test started; killed when the object goes.
class child_process {
public:
    child_process() = default;
    //! Starts build/bin/`program`; its standard error goes to `log_path`.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    //! The next line of its standard output; empty at the end.
    std::string read_line();
    //! The rest of its standard output, up to the end.
    std::string read_rest();
    void signal(int number) const;
    //! Stops it until SIGCONT and waits until it stands still; false when it doesn't within a second.
    [[nodiscard]] bool freeze() const;
    //! Waits for the end; returns the exit status, or 128 and the signal's number.
    int wait();
    //! Kills it at once and waits.
    void kill();
    [[nodiscard]] bool running();
    [[nodiscard]] pid_t id() const { return this->pid; }

private:
    pid_t pid = -1;
    int output = -1;
    int exit_status = -1;
};

//! What a program that ran to its end left behind.
struct finished_program {
    int exit_status = -1;
    std::string output;
    std::string errors;
};

//! Runs build/bin/`program` to its end.
finished_program run_program(const std::string& program, const std::vector<std::string>& arguments);

//! A folder for one test's files, removed when the object goes.
class scratch_folder {
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;

    //! Writes a file and returns its path.
    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const;
    [[nodiscard]] std::string path(const std::string& name) const { return this->root + "/" + name; }

private:
    std::string root;
};

} // namespace dandelionstep::testing
