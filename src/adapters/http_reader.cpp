#include "adapters/http_reader.hpp"

#include <algorithm>
#include <http_parser.h>

namespace dandelionstep {
namespace {

constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr std::size_t max_response_headers = 256;
constexpr int max_interim_responses = 16;

constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

// The parser lets a space stand in a field's name, and two servers may read such a field differently.
bool is_token(std::string_view text)
{
    return std::ranges::all_of(text, [](char each) {
        const bool is_digit = each >= '0' && each <= '9';
        const bool is_letter = (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z');
        return is_digit || is_letter || token_marks.find(each) != std::string_view::npos;
    });
}

// Whatever length its head tells.
bool has_no_body(int status)
{
    return status < first_final_status || status == status_no_content || status == status_not_modified;
}

} // namespace

struct http_reader::state {
    http_parser parser{};
    kind reads = kind::requests;
    callbacks handle;
    http_head head;
    bool in_value = false;
    bool begun = false;
    bool head_complete = false;
    bool complete = false;
    bool too_many_headers = false;
    std::size_t head_size = 0;
    int interim_responses = 0;

    void reset()
    {
        http_parser_init(&this->parser, this->reads == kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->head = {};
        this->in_value = false;
        this->begun = false;
        this->head_complete = false;
        this->complete = false;
        this->head_size = 0;
    }

    static state& of(http_parser* parser) { return *static_cast<state*>(parser->data); }

    static int on_url(http_parser* parser, const char* text, std::size_t size)
    {
        of(parser).head.target.append(text, size);
        return 0;
    }

    static int on_field(http_parser* parser, const char* text, std::size_t size)
    {
        state& self = of(parser);
        if (self.head_complete) {
            // Trailers after a chunked body carry nothing that is used.
            return 0;
        }
        if (!is_token({text, size})) {
            return 1;
        }
        if (self.in_value || self.head.headers.empty()) {
            if (self.reads == kind::responses && self.head.headers.size() >= max_response_headers) {
                self.too_many_headers = true;
                return 1;
            }
            self.head.headers.emplace_back();
            self.in_value = false;
        }
        self.head.headers.back().first.append(text, size);
        return 0;
    }

    static int on_value(http_parser* parser, const char* text, std::size_t size)
    {
        state& self = of(parser);
        if (self.head_complete) {
            return 0;
        }
        self.in_value = true;
        self.head.headers.back().second.append(text, size);
        return 0;
    }

    static int on_headers_complete(http_parser* parser)
    {
        constexpr int go_on = 0;
        constexpr int skip_body = 1;
        constexpr int fail = -1;
        state& self = of(parser);
        self.head_complete = true;
        self.head.status = static_cast<int>(parser->status_code);
        self.head.keep_alive = http_should_keep_alive(parser) != 0;
        if (self.reads == kind::requests) {
            self.head.method = http_method_str(static_cast<http_method>(parser->method));
        }
        if (self.reads == kind::responses && self.head.status < first_status) {
            return fail;
        }
        // Interim responses precede the response itself.
        if (self.reads == kind::requests || self.head.status >= first_final_status) {
            self.handle.on_head(self.head);
        }
        return self.reads == kind::responses && has_no_body(self.head.status) ? skip_body : go_on;
    }

    static int on_body(http_parser* parser, const char* text, std::size_t size)
    {
        of(parser).handle.on_body(std::string_view(text, size));
        return 0;
    }

    static int on_complete(http_parser* parser)
    {
        of(parser).complete = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings shared = [] {
            http_parser_settings made;
            http_parser_settings_init(&made);
            made.on_url = on_url;
            made.on_header_field = on_field;
            made.on_header_value = on_value;
            made.on_headers_complete = on_headers_complete;
            made.on_body = on_body;
            made.on_message_complete = on_complete;
            return made;
        }();
        return shared;
    }
};

http_reader::http_reader(kind reads, callbacks handle) : self(std::make_unique<state>())
{
    this->self->reads = reads;
    this->self->handle = std::move(handle);
    this->self->reset();
}

http_reader::~http_reader() = default;

http_reader::result http_reader::feed(std::string_view bytes)
{
    if (this->self->complete) {
        this->self->reset();
        this->self->interim_responses = 0;
    }
    if (bytes.empty()) {
        return {progress::needs_more, 0};
    }
    std::size_t taken = 0;
    while (taken < bytes.size()) {
        this->self->begun = true;
        const bool in_head = !this->self->head_complete;
        const std::size_t step = http_parser_execute(&this->self->parser, &state::settings(),
                                                     bytes.data() + taken, bytes.size() - taken);
        taken += step;
        if (in_head) {
            this->self->head_size += step;
        }
        const http_errno error = HTTP_PARSER_ERRNO(&this->self->parser);
        if (error != HPE_OK && error != HPE_PAUSED) {
            const bool is_overlong = this->self->reads == kind::responses &&
                                     (error == HPE_HEADER_OVERFLOW || this->self->too_many_headers);
            return {is_overlong ? progress::overlong : progress::malformed, taken};
        }
        if (!this->self->complete) {
            continue;
        }
        const bool interim =
            this->self->reads == kind::responses && this->self->head.status < first_final_status;
        if (!interim) {
            return {progress::complete, taken};
        }
        if (++this->self->interim_responses > max_interim_responses) {
            return {progress::overlong, taken};
        }
        this->self->reset();
    }
    return {progress::needs_more, taken};
}

bool http_reader::end_of_input()
{
    if (!this->self->begun || this->self->complete) {
        return false;
    }
    http_parser_execute(&this->self->parser, &state::settings(), nullptr, 0);
    return this->self->complete;
}

bool http_reader::inside_message() const
{
    return this->self->begun && !this->self->complete;
}

std::size_t http_reader::head_bytes() const
{
    return this->self->head_size;
}

bool http_reader::head_done() const
{
    return this->self->head_complete;
}

} // namespace dandelionstep
