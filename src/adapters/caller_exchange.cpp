#include "absl/strings/str_cat.h"
#include "adapters/http_text.hpp"
#include "adapters/internal/caller_connection.hpp"
#include "adapters/socket_state.hpp"

namespace dandelionstep {

void caller_exchange::answer(int status, const http_headers& headers, std::string_view text)
{
    if (this->gone()) {
        return;
    }
    http_headers all = headers;
    if (!this->connection->keep || this->connection->owner->draining) {
        this->connection->keep = false;
        all.emplace_back("Connection", "close");
    }
    const std::string whole = response_text(status, all, text);
    if (!this->is_started && !this->connection->has_room(whole.size())) {
        this->connection->answer_without_room();
        return;
    }
    if (this->connection->write(whole)) {
        this->connection->answered();
    }
}

void caller_exchange::start(int status, const http_headers& headers)
{
    if (this->gone() || this->is_started) {
        return;
    }
    this->is_started = true;
    http_headers all = headers;
    if (!this->connection->keep || this->connection->owner->draining) {
        this->connection->keep = false;
        all.emplace_back("Connection", "close");
    }
    all.emplace_back("Transfer-Encoding", "chunked");
    this->connection->write(response_head(status, all));
}

void caller_exchange::write(std::string_view part)
{
    if (this->gone() || part.empty()) {
        return;
    }
    this->connection->write(
        absl::StrCat(absl::Hex(part.size()), "\r\n", absl::string_view(part.data(), part.size()), "\r\n"));
}

void caller_exchange::finish()
{
    if (this->gone()) {
        return;
    }
    if (this->connection->write("0\r\n\r\n")) {
        this->connection->answered();
    }
}

bool caller_exchange::has_left() const
{
    return this->gone() || has_peer_ended(bufferevent_getfd(this->connection->raw));
}

void caller_exchange::abort()
{
    if (!this->gone()) {
        this->connection->end(false);
    }
}

} // namespace dandelionstep
