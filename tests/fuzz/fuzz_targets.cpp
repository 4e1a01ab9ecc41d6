#include "fuzz/fuzz_targets.hpp"

#include "configuration/declarations.hpp"
#include "configuration/record.hpp"
#include "daemon/completion_format.hpp"
#include "fuzz/entry_fuzz_targets.hpp"
#include "order/order_record.hpp"
#include "platform/configuration_rows.hpp"
#include "report/burn_series.hpp"
#include "target/parse_endpoint.hpp"
#include "vm/settings.hpp"

#include <random>

namespace dandelionstep::testing {
namespace {

void fuzz_json(const std::string& bytes)
{
    if (const auto value = parse_json(bytes); value.ok()) {
        (void)dump(*value);
    }
}

void fuzz_completion(const std::string& bytes)
{
    (void)parse_completion(bytes);
}

void fuzz_settings(const std::string& bytes)
{
    (void)parse_settings(bytes, "fuzz.toml");
}

void fuzz_declarations(const std::string& bytes)
{
    const auto records = parse_declarations(bytes, "fuzz.toml");
    if (!records.ok()) {
        return;
    }
    declarations all;
    for (const configuration_record& record : *records) {
        (void)apply_record(all, record);
    }
}

void fuzz_order(const std::string& bytes)
{
    if (const auto value = parse_json(bytes); value.ok()) {
        if (const auto record = parse_order_record(*value); record.ok()) {
            (void)dump(to_json(*record));
        }
    }
}

void fuzz_change(const std::string& bytes)
{
    const auto value = parse_json(bytes);
    if (!value.ok()) {
        return;
    }
    if (const auto change = parse_change(*value); change.ok()) {
        declarations all;
        for (const configuration_record& record : change->records) {
            (void)apply_record(all, record);
        }
    }
}

void fuzz_burn(const std::string& bytes)
{
    if (const auto value = parse_json(bytes); value.ok()) {
        (void)parse_burn_table(*value);
    }
}

void fuzz_endpoint(const std::string& bytes)
{
    (void)parse_endpoint(bytes);
}

std::string mutate(std::string bytes, const std::vector<std::string>& seeds, std::mt19937_64& random)
{
    static constexpr std::string_view tokens[] = {
        "{",    "}",    "[",       "]",    "\"", ",",          ":", "-1", "0", "1e400", "9223372036854775808",
        "null", "true", "\\u0000", "\xff", "\n", "[[record]]", "=", "."};
    const std::size_t changes = 1 + random() % 6;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t at = bytes.empty() ? 0 : random() % (bytes.size() + 1);
        switch (random() % 6) {
        case 0:
            bytes.insert(at, tokens[random() % std::size(tokens)]);
            break;
        case 1:
            bytes.erase(at, random() % 8);
            break;
        case 2:
            if (at < bytes.size()) {
                bytes[at] = static_cast<char>(random());
            }
            break;
        case 3:
            bytes.insert(at, bytes.substr(at, random() % 32));
            break;
        case 4: {
            const std::string& other = seeds[random() % seeds.size()];
            bytes = bytes.substr(0, at) + other.substr(random() % (other.size() + 1));
            break;
        }
        default:
            bytes.insert(at, std::string(random() % 100, "[{\"0"[random() % 4]));
            break;
        }
    }
    return bytes;
}

const std::string declarations_seed = R"([[record]]
kind = "model"
name = "assistant"
schema_version = 1
version = "1"
layers = 12
service_level = { target = 0.9, first_token_ms = 100 }
[[record]]
kind = "target"
name = "stage0"
schema_version = 1
data_centre = "nashua"
address = "127.0.0.1:8000"
model = "assistant"
version = "1"
begin_layer = 0
end_layer = 12
adapters = ["a", "b"]
[[record]]
kind = "organisation"
name = "makers"
schema_version = 1
token_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
[[record]]
kind = "service"
name = "desk"
schema_version = 1
idempotent_paths = ["/quotes"]
[[record]]
kind = "link"
name = "a-b"
schema_version = 1
from = "a"
to = "b"
)";

const std::string settings_seed = R"([vm]
name = "a"
data_centre = "nashua"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[operators]
token_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
[tls]
enabled = false
[limits]
max_requests = 5
)";

std::vector<fuzz_target> daemon_fuzz_targets()
{
    return {
        {"json", fuzz_json, {R"({"a":[1,2.5,"x",null,true,{"b":{}}]})", "[]", "\"text\""}},
        {"completion",
         fuzz_completion,
         {R"({"model":"assistant","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]})"}},
        {"settings", fuzz_settings, {settings_seed}},
        {"declarations", fuzz_declarations, {declarations_seed}},
        {"order",
         fuzz_order,
         {R"({"phase":"done","nonce":"n","key":"k","claimed_at_ms":5,"answer":{"status":200,"body":"{}"}})"}},
        {"change",
         fuzz_change,
         {R"({"revision":3,"change_id":"c","records":[{"kind":"model","name":"m","schema_version":1,"version":"1","layers":4}]})"}},
        {"burn",
         fuzz_burn,
         {R"([{"service":"a","organisation":"b","minutes":[[1,2,3]],"hours":[],"days":[[4,5,6]]}])"}},
        {"endpoint", fuzz_endpoint, {"127.0.0.1:80", "1.2.3.4:65535", ":", "::1:5"}},
    };
}

} // namespace

const std::vector<fuzz_target>& fuzz_targets()
{
    static const std::vector<fuzz_target> targets = [] {
        std::vector<fuzz_target> all = daemon_fuzz_targets();
        for (fuzz_target& target : entry_fuzz_targets()) {
            all.push_back(std::move(target));
        }
        return all;
    }();
    return targets;
}

void run_fuzz_target(const fuzz_target& target, unsigned long iterations, unsigned long seed,
                     std::string& last_input)
{
    std::mt19937_64 random(seed);
    for (unsigned long i = 0; i < iterations; ++i) {
        last_input = mutate(target.seeds[random() % target.seeds.size()], target.seeds, random);
        target.parse(last_input);
    }
}

} // namespace dandelionstep::testing
