#include "entry/status_port.hpp"

#include "absl/strings/str_cat.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace dandelionstep {
namespace {

void answer(evhttp_request* request, void* argument)
{
    const status_port::page page = (*static_cast<status_port::page_source*>(argument))();
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, page.text.data(), page.text.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "text/plain; version=0.0.4");
    evhttp_send_reply(request, page.status, nullptr, body);
    evbuffer_free(body);
}

} // namespace

status_port::status_port(event_loop& loop) : raw(evhttp_new(loop.base())) {}

status_port::~status_port()
{
    evhttp_free(this->raw);
}

void status_port::serve(const std::string& path, page_source source)
{
    this->pages[path] = std::move(source);
}

absl::Status status_port::listen(const endpoint& at)
{
    for (auto& [path, source] : this->pages) {
        evhttp_set_cb(this->raw, path.c_str(), answer, &source);
    }
    if (evhttp_bind_socket(this->raw, at.address.c_str(), at.port) != 0) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", to_string(at)));
    }
    return absl::OkStatus();
}

} // namespace dandelionstep
