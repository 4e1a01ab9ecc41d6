#pragma once

#include "absl/status/status.h"
#include "adapters/event_loop.hpp"
#include "target/endpoint.hpp"

#include <functional>
#include <map>
#include <string>

struct evhttp;

namespace dandelionstep {

//! Serves short texts to the balancer and to whoever collects metrics.
class status_port {
public:
    //! A status and a body.
    struct page {
        int status = 200;
        std::string text;
    };
    using page_source = std::function<page()>;

    explicit status_port(event_loop& loop);
    ~status_port();
    status_port(const status_port&) = delete;
    status_port& operator=(const status_port&) = delete;
    status_port(status_port&&) = delete;
    status_port& operator=(status_port&&) = delete;

    //! Adds a page; to be called before listen.
    void serve(const std::string& path, page_source source);
    absl::Status listen(const endpoint& at);

private:
    std::map<std::string, page_source> pages;
    evhttp* raw;
};

} // namespace dandelionstep
