#include "vm/settings.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

const std::string good = R"([vm]
name = "nashua-1"
data_centre = "nashua"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:9000"
[operators]
token_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
[tls]
enabled = false
)";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = good;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct bad_file {
    const char* what;
    std::string text;
    const char* location;
    const char* reason;
};

} // namespace

TEST_CASE("valid settings are read, with defaults for absent keys")
{
    const auto parsed = parse_settings(good, "daemon.toml");
    REQUIRE(parsed.ok());
    CHECK(parsed->vm == vm_id("nashua-1"));
    CHECK(parsed->callers == endpoint{"127.0.0.1", 8080});
    CHECK(parsed->max_requests == settings{}.max_requests);
    CHECK(parsed->platform_timeout == settings{}.platform_timeout);
}

TEST_CASE("each error names file, line, key and reason")
{
    const std::vector<bad_file> table{
        {"unknown key", good + "[limits]\nmax_reqests = 5\n", "daemon.toml:15: key \"limits.max_reqests\"",
         "did you mean \"limits.max_requests\"?"},
        {"unknown section", good + "[lissten]\n", "daemon.toml:14: key \"lissten\"", "is not a known key"},
        {"wrong type", good + "[limits]\nmax_requests = \"many\"\n",
         "daemon.toml:15: key \"limits.max_requests\"", "must be a whole number"},
        {"out of range", good + "[limits]\nmax_requests = 0\n", "daemon.toml:15: key \"limits.max_requests\"",
         "must be between 1 and 1000000, is 0"},
        {"missing key", replaced("name = \"nashua-1\"\n", ""), "daemon.toml:1: key \"vm.name\"",
         "is missing"},
        {"missing section", replaced("[platform]\naddress = \"127.0.0.1:9000\"\n", ""),
         "daemon.toml:1: key \"platform.address\"", "is missing"},
        {"not an address", replaced("127.0.0.1:8080", "localhost"), "daemon.toml:5: key \"listen.callers\"",
         "\"localhost\" is not an IP address and port"},
        {"empty text", replaced("\"nashua\"\n", "\"\"\n"), "daemon.toml:3: key \"vm.data_centre\"",
         "must not be empty"},
        {"short hash", replaced("aaaaaaaa", "a"), "daemon.toml:11: key \"operators.token_sha256\"",
         "must be 64 lower-case hexadecimal digits"},
        {"seeds that are no list", good + "[peers]\nseeds = \"127.0.0.1:1\"\n",
         "daemon.toml:15: key \"peers.seeds\"", "must be a list of addresses"},
        {"section that is no table",
         "vm = 3\n" + replaced("[vm]\nname = \"nashua-1\"\ndata_centre = \"nashua\"\n", ""),
         "daemon.toml:1: key \"vm\"", "is not a known key"},
        {"TLS without files", replaced("[tls]\nenabled = false\n", ""),
         "daemon.toml:1: key \"tls.certificate\"", "TLS is off only with tls.enabled = false"},
        {"TLS with one file missing",
         replaced("enabled = false\n", "certificate = \"c.pem\"\nauthority = \"a.pem\"\n"),
         "daemon.toml:12: key \"tls.key\"", "is missing"},
        {"TLS switch of another type", replaced("enabled = false\n", "enabled = \"no\"\n"),
         "daemon.toml:13: key \"tls.enabled\"", "must be true or false"},
        {"broken TOML", good + "[limits\n", "daemon.toml:14: ", ""},
    };
    for (const bad_file& row : table) {
        CAPTURE(row.what);
        const auto parsed = parse_settings(row.text, "daemon.toml");
        REQUIRE_FALSE(parsed.ok());
        const std::string message(parsed.status().message());
        CAPTURE(message);
        CHECK(message.find(row.location) != std::string::npos);
        CHECK(message.find(row.reason) != std::string::npos);
    }
}

TEST_CASE("TLS is on unless the file says otherwise")
{
    const auto off = parse_settings(good, "daemon.toml");
    REQUIRE(off.ok());
    CHECK_FALSE(off->tls.has_value());
    const auto on = parse_settings(
        replaced("enabled = false\n", "certificate = \"c.pem\"\nkey = \"k.pem\"\nauthority = \"a.pem\"\n"),
        "daemon.toml");
    REQUIRE_MESSAGE(on.ok(), on.status().message());
    REQUIRE(on->tls.has_value());
    CHECK(on->tls->certificate == "c.pem");
    CHECK(on->tls->key == "k.pem");
    CHECK(on->tls->authority == "a.pem");
}

TEST_CASE("one check reports every error")
{
    const auto parsed =
        parse_settings(good + "[limits]\nmax_requests = 0\nmax_attempts = true\n", "daemon.toml");
    REQUIRE_FALSE(parsed.ok());
    const std::string message(parsed.status().message());
    CHECK(message.find("limits.max_requests") != std::string::npos);
    CHECK(message.find("limits.max_attempts") != std::string::npos);
}

TEST_CASE("the printed defaults are the values of absent keys")
{
    std::string optional_part = default_settings();
    // The required keys are only comments in the printed text; the valid file sets them.
    const std::size_t limits = optional_part.find("[limits]");
    REQUIRE(limits != std::string::npos);
    const auto parsed = parse_settings(good + optional_part.substr(limits), "defaults.toml");
    REQUIRE_MESSAGE(parsed.ok(), parsed.status().message());
    CHECK(parsed->max_requests == settings{}.max_requests);
    CHECK(parsed->max_body_bytes == settings{}.max_body_bytes);
    CHECK(parsed->token_gap == settings{}.token_gap);
    CHECK(parsed->drain_limit == settings{}.drain_limit);
}
