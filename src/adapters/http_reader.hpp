#pragma once

#include "adapters/received_request.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionstep {

//! The head of an HTTP/1.1 message.
struct http_head {
    //! Of requests.
    std::string method;
    //! Of requests: path and query as sent.
    std::string target;
    //! Of responses.
    int status = 0;
    http_headers headers;
    //! Whether the sender means to keep the connection.
    bool keep_alive = false;

    //! The header's value, or an empty text; the name's case does not matter.
    [[nodiscard]] std::string header(std::string_view name) const { return find_header(this->headers, name); }
};

//! Reads HTTP/1.1 messages one after the other from the bytes of a connection.
class http_reader {
public:
    enum class kind { requests, responses };
    enum class progress {
        needs_more, //!< All bytes were taken; the message goes on.
        complete,   //!< A message ended; the bytes after it were not taken.
        malformed,  //!< These are not the bytes of such a message.
        overlong,   //!< The head of a response, or what comes before it, is longer than it may be.
    };
    struct result {
        progress state = progress::needs_more;
        std::size_t taken = 0;
    };
    struct callbacks {
        std::function<void(http_head&)> on_head;
        std::function<void(std::string_view)> on_body;
    };

    http_reader(kind reads, callbacks handle);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    http_reader(http_reader&&) = delete;
    http_reader& operator=(http_reader&&) = delete;

    result feed(std::string_view bytes);
    //! The connection ended in order. True when that ends a message that gave no length.
    bool end_of_input();
    //! Whether bytes of a message were taken and it is not complete.
    [[nodiscard]] bool inside_message() const;
    //! Bytes of the current message's head so far.
    [[nodiscard]] std::size_t head_bytes() const;
    //! Whether the current message's head is complete.
    [[nodiscard]] bool head_done() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace dandelionstep
