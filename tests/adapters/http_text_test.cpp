#include "adapters/http_text.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("headers that concern one connection are not passed on, nor those that Connection names")
{
    const http_headers kept = without_connection_headers({{"Host", "x"},
                                                          {"connection", "close, X-Hop"},
                                                          {"x-hop", "1"},
                                                          {"Keep-Alive", "timeout=5"},
                                                          {"Transfer-Encoding", "chunked"},
                                                          {"Content-Length", "5"},
                                                          {"Upgrade", "h2c"},
                                                          {"Accept", "*/*"}});
    CHECK(kept == http_headers{{"Host", "x"}, {"Accept", "*/*"}});
}

TEST_CASE("messages carry their length")
{
    CHECK(response_text(200, {{"A", "b"}}, "xy") == "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nxy");
    CHECK(response_text(204, {}, "").find("Content-Length") == std::string::npos);
    CHECK(request_text("GET", "/", {}, "") == "GET / HTTP/1.1\r\n\r\n");
    CHECK(request_text("POST", "/", {}, "") == "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}
