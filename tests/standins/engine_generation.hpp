#pragma once

#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"
#include "engine_standin.hpp"
#include "engine_step.hpp"

#include <memory>
#include <string>
#include <vector>

namespace dandelionstep::standins {

//! An answer that an engine, as the first hop, streams to its caller.
struct generation {
    std::string request;
    std::int64_t attempt = 0;
    std::string prompt;
    std::vector<std::string> tokens;
    std::int64_t length = 0;
    json hops;
    bool first = true;
    bool cancelled = false;
    std::shared_ptr<http_reply> reply;
};

//! The step for the generation's next token, as it enters the first hop.
step_work first_hop_step(const generation& work, const engine_options& options);

//! The error code for a hop that gave no answer of its own.
std::string hop_failure(const http_result& result);

//! Changes of the prefix cache, as an engine publishes them.
class prefix_cache_events {
public:
    void remember(const std::string& prompt);
    //! The events after the given sequence number, as a body.
    [[nodiscard]] std::string after(const std::string& sequence) const;

private:
    std::vector<json> events;
    std::int64_t last_sequence = 0;
};

} // namespace dandelionstep::standins
