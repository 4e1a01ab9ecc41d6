#include "soak/raw_channel.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace dandelionstep::soak {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds answer_limit{20};
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";

struct answer_head {
    int status = 0;
    http_headers headers;
    //! Where the body begins.
    std::size_t end = 0;
    std::optional<std::size_t> length;
    bool is_chunked = false;
    bool closes = false;
};

std::optional<answer_head> head_of(const std::string& bytes)
{
    const std::size_t end = bytes.find(head_end);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    answer_head head;
    head.end = end + head_end.size();
    const std::vector<std::string> lines = absl::StrSplit(bytes.substr(0, end), "\r\n");
    const std::vector<std::string> first = absl::StrSplit(lines.front(), ' ');
    if (first.size() < 2 || !absl::SimpleAtoi(first[1], &head.status)) {
        head.status = -1;
    }
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const std::pair<std::string, std::string> field = absl::StrSplit(lines[i], absl::MaxSplits(':', 1));
        const std::string name = absl::AsciiStrToLower(field.first);
        const std::string value(absl::StripAsciiWhitespace(field.second));
        head.headers.emplace_back(field.first, value);
        std::size_t length = 0;
        if (name == "content-length" && absl::SimpleAtoi(value, &length)) {
            head.length = length;
        }
        head.is_chunked = head.is_chunked || (name == "transfer-encoding" && value == "chunked");
        head.closes = head.closes || (name == "connection" && absl::AsciiStrToLower(value) == "close");
    }
    return head;
}

struct answer_body {
    std::string text;
    bool whole = false;
    //! Where it ends, once it is whole.
    std::size_t end = 0;
};

answer_body chunks_of(const std::string& bytes, std::size_t at)
{
    answer_body body;
    while (true) {
        const std::size_t size_end = bytes.find(line_end, at);
        std::uint64_t size = 0;
        if (size_end == std::string::npos || !absl::SimpleHexAtoi(bytes.substr(at, size_end - at), &size)) {
            return body;
        }
        const std::size_t begin = size_end + line_end.size();
        body.text += bytes.substr(std::min(begin, bytes.size()), size);
        at = begin + size + line_end.size();
        if (at > bytes.size()) {
            return body;
        }
        if (size == 0) {
            body.whole = true;
            body.end = at;
            return body;
        }
    }
}

answer_body body_of(const std::string& bytes, const answer_head& head, bool has_ended)
{
    if (head.is_chunked) {
        return chunks_of(bytes, head.end);
    }
    const std::size_t come = bytes.size() - head.end;
    if (!head.length) {
        return {bytes.substr(head.end), has_ended, bytes.size()};
    }
    return {bytes.substr(head.end, *head.length), come >= *head.length, head.end + *head.length};
}

} // namespace

raw_channel::~raw_channel()
{
    this->close();
}

void raw_channel::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

bool raw_channel::connect_to(const endpoint& to, bool reads_slowly)
{
    constexpr int little_room = 4'096;
    constexpr timeval wait_limit{.tv_sec = 10, .tv_usec = 0};
    this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &wait_limit, sizeof(wait_limit));
    if (reads_slowly) {
        setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &little_room, sizeof(little_room));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    if (connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        this->close();
        return false;
    }
    return true;
}

bool raw_channel::has_input() const
{
    pollfd one{.fd = this->socket, .events = POLLIN, .revents = 0};
    return poll(&one, 1, 0) > 0;
}

bool raw_channel::is_kept(std::chrono::milliseconds most_idle, raw_outcome& outcome) const
{
    if (this->socket < 0 || steady_clock::now() - this->last_use > most_idle) {
        return false;
    }
    if (!this->has_input()) {
        return true;
    }
    constexpr std::size_t most = 1'000;
    std::string bytes(most, '\0');
    const ssize_t got = recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    outcome.stray = bytes.substr(0, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    return false;
}

bool raw_channel::send_part(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void raw_channel::send_all(const raw_request& request, raw_outcome& outcome) const
{
    const std::size_t size = request.sending.bytes == 0 ? request.body.size() + 1 : request.sending.bytes;
    std::string_view rest = request.body;
    bool sent = this->send_part(request.head + std::string(rest.substr(0, size)));
    rest.remove_prefix(std::min(size, rest.size()));
    while (sent && !rest.empty()) {
        std::this_thread::sleep_for(request.sending.pause);
        sent = !this->has_input() && this->send_part(rest.substr(0, size));
        rest.remove_prefix(sent ? std::min(size, rest.size()) : 0);
    }
    outcome.was_sent_whole = sent;
    outcome.last_byte_at = steady_clock::now();
}

void raw_channel::read_answer(const parts& reading, raw_outcome& outcome)
{
    constexpr std::size_t most = 65'536;
    const auto limit = steady_clock::now() + answer_limit;
    std::string bytes;
    std::string part(most, '\0');
    std::size_t since_pause = 0;
    bool has_ended = false;
    std::optional<answer_head> head;
    while (!has_ended && steady_clock::now() < limit) {
        constexpr int poll_ms = 100;
        pollfd one{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (poll(&one, 1, poll_ms) <= 0) {
            continue;
        }
        const ssize_t got = recv(this->socket, part.data(), part.size(), MSG_DONTWAIT);
        const bool was_reset = got < 0 && errno != EAGAIN;
        has_ended = got == 0 || was_reset;
        outcome.was_reset = was_reset;
        bytes.append(part, 0, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        head = head ? head : head_of(bytes);
        if (head) {
            const answer_body body = body_of(bytes, *head, has_ended && !was_reset);
            outcome.answer.status = head->status;
            outcome.answer.headers = head->headers;
            outcome.answer.body = body.text;
            outcome.answer.whole = body.whole;
            if (body.whole) {
                outcome.stray = bytes.substr(body.end);
                break;
            }
        }
        since_pause += static_cast<std::size_t>(std::max<ssize_t>(got, 0));
        if (reading.bytes > 0 && since_pause >= reading.bytes) {
            since_pause = 0;
            std::this_thread::sleep_for(reading.pause);
        }
    }
    const bool keeps = outcome.answer.whole && outcome.was_sent_whole && !has_ended && !head->closes;
    if (!keeps) {
        this->close();
    }
}

raw_outcome raw_channel::ask(const endpoint& to, const raw_request& request,
                             std::chrono::milliseconds most_idle)
{
    raw_outcome outcome;
    const bool kept = this->is_kept(most_idle, outcome);
    if (!kept) {
        this->close();
    }
    const std::string early = outcome.stray;
    outcome.answer.sent_at = steady_clock::now();
    outcome.was_connected = kept || this->connect_to(to, request.reading.bytes > 0);
    if (outcome.was_connected) {
        this->send_all(request, outcome);
        this->read_answer(request.reading, outcome);
    }
    outcome.stray = early + outcome.stray;
    outcome.answer.ended_at = steady_clock::now();
    this->last_use = steady_clock::now();
    return outcome;
}

} // namespace dandelionstep::soak
