#pragma once

#include "adapters/http_client.hpp"
#include "platform/table.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The names of objects; `failed` when the store could not be read.
struct object_list {
    bool failed = false;
    std::vector<std::string> names;
};

//! Speaks the platform's contract (docs/CONTRACTS.md); each call answers exactly once, from the loop.
class platform_client {
public:
    platform_client(http_client& http, endpoint platform, milliseconds timeout)
        : http(http), platform(std::move(platform)), timeout(timeout)
    {}

    void commit(const table_transaction& transaction, std::function<void(const commit_answer&)> done);
    void read(std::string_view key, std::function<void(const read_answer&)> done);
    //! Reads up to `limit` rows with the prefix, after the given key, in order of their keys.
    void scan(std::string_view prefix, std::string_view after, int limit,
              std::function<void(const read_answer&)> done);
    void put_object(std::string_view name, std::string body, std::function<void(bool stored)> done);
    void get_object(std::string_view name, std::function<void(const http_result&)> done);
    void list_objects(std::string_view prefix, std::function<void(const object_list&)> done);

private:
    void get_rows(const std::string& path, std::function<void(const read_answer&)> done);

    http_client& http;
    endpoint platform;
    milliseconds timeout;
};

} // namespace dandelionstep
