#pragma once

#include "common/clock.hpp"
#include "common/json.hpp"
#include "support/certificates.hpp"
#include "support/child_process.hpp"
#include "target/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! Many daemons over several data centres beside one table, with TLS as in production.
class daemon_group {
public:
    daemon_group(std::size_t daemons, std::size_t data_centres);

    [[nodiscard]] std::size_t size() const { return this->daemons.size(); }
    //! Waits until every daemon is ready, knows all others and has the revision.
    bool await_whole(std::int64_t revision, milliseconds within) const;
    //! Applies records at one daemon; the revision, or 0 when it was not accepted.
    [[nodiscard]] std::int64_t apply(std::size_t daemon, const json& records) const;
    [[nodiscard]] json status(std::size_t daemon) const;
    //! Reads of the platform's table so far.
    [[nodiscard]] std::int64_t store_reads() const;
    //! Processor time that a daemon has used.
    [[nodiscard]] milliseconds processor_time(std::size_t daemon) const;
    [[nodiscard]] byte_count resident(std::size_t daemon) const;
    [[nodiscard]] std::string log_of(std::size_t daemon) const;

private:
    struct running {
        endpoint operators;
        endpoint peers;
        child_process process;
    };

    void start(std::size_t index, std::size_t data_centres);

    scratch_folder folder;
    tls_files certificate;
    endpoint platform;
    child_process platform_process;
    std::vector<running> daemons;
};

//! The record of a target that no daemon observes, as long as its data centre has none.
json target_record(std::size_t number);

} // namespace dandelionstep::testing
