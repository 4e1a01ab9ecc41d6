#include "fuzz/entry_fuzz_targets.hpp"

#include "adapters/http_reader.hpp"
#include "common/packed_text.hpp"
#include "dialect.hpp"
#include "entry/peers/peer_messages.hpp"
#include "request/event_splitter.hpp"

#include <cstdlib>
#include <string>

namespace dandelionstep::testing {
namespace {

constexpr std::size_t most_unpacked_bytes = std::size_t{1024} * 1024;

// What a reader took from bytes that came in parts.
struct read_outcome {
    std::vector<int> statuses;
    std::string body;
    bool is_refused = false;

    bool operator==(const read_outcome&) const = default;
};

read_outcome read_responses(const std::string& bytes, std::size_t part)
{
    read_outcome outcome;
    http_reader reader(http_reader::kind::responses,
                       {[&](http_head& head) { outcome.statuses.push_back(head.status); },
                        [&](std::string_view text) { outcome.body += text; }});
    std::size_t at = 0;
    while (at < bytes.size()) {
        const http_reader::result fed = reader.feed(std::string_view(bytes).substr(at, part));
        at += fed.taken;
        if (fed.state != http_reader::progress::needs_more && fed.state != http_reader::progress::complete) {
            outcome.is_refused = true;
            return outcome;
        }
    }
    return outcome;
}

void require_same(bool is_same)
{
    if (!is_same) {
        std::abort();
    }
}

void fuzz_responses(const std::string& bytes)
{
    const read_outcome whole = read_responses(bytes, bytes.size());
    require_same(whole == read_responses(bytes, 1));
}

void fuzz_events(const std::string& bytes)
{
    event_splitter whole;
    event_splitter parted;
    const std::string expected = take_events(whole, bytes);
    std::string passed;
    for (const char byte : bytes) {
        passed += take_events(parted, std::string_view(&byte, 1));
    }
    require_same(passed == expected && parted.pending == whole.pending && parted.last_id == whole.last_id);
}

void fuzz_packed(const std::string& bytes)
{
    (void)unpack_text(bytes, most_unpacked_bytes);
    const absl::StatusOr<std::string> unpacked = unpack_text(pack_text(bytes), most_unpacked_bytes);
    require_same(unpacked.ok() && *unpacked == bytes);
}

void fuzz_peer_question(const std::string& bytes)
{
    (void)parse_peer_question(bytes);
}

void fuzz_peer_answer(const std::string& bytes)
{
    (void)parse_peer_answer(bytes);
    (void)parse_peer_referral(bytes);
}

void fuzz_entry_settings(const std::string& bytes)
{
    (void)platform::users_platform().parse_settings(bytes, "fuzz.toml");
}

void fuzz_entry_config(const std::string& bytes)
{
    (void)platform::users_platform().parse_config(bytes);
}

void fuzz_replica(const std::string& bytes)
{
    (void)platform::users_platform().parse_target("i-1", bytes);
    (void)platform::users_platform().parse_report(bytes);
    (void)platform::users_platform().parse_path_refusal(bytes);
}

void fuzz_rows(const std::string& bytes)
{
    (void)platform::users_platform().parse_rows(bytes);
}

const std::string response_seed =
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n";
const std::string sized_response_seed = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
                                        "HTTP/1.1 204 None\r\n\r\n";

const std::string settings_seed = R"(
NodeName = "frontend-1"
Zone = "nashua"
IpAddress = "10.1.0.40"
RowBytes = 1000
[ListenAddresses]
Frontend = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
[Platform]
Address = "10.200.1.7:8223"
[Limits]
MemoryMb = 64
)";

const std::string config_seed = R"({"Version":7,"Routes":[{"Name":"r1","Host":"a.example","Prefix":"/x/",
"Kind":"streaming","TimeoutMs":20000,"TrafficSplit":[{"Service":"s1","Weight":90}],"MaxAttempts":2}],
"Services":[{"Name":"s1","Engine":{"Slots":192,"Stride":3,"step_ms":1.02,"Layers":80,"LayerMb":1750.0,
"Kinds":[{"Name":"a100","Megabytes":72000.0,"pace":2.4,"ReadFactor":3.2}]}}],
"Limits":{"MaxBodyBytes":4194304},"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1}]})";

const std::string target_seed = R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"n","Slots":192,
"State":"draining","Kind":"a100","Layers":{"From":20,"To":31,"Version":1},"Sequence":4,"born":1790000000000})";

const std::string report_seed = R"({"Stage":"both","Layers":{"From":0,"To":20,"Version":1},"Busy":true,
"Sequence":2,"RunningCount":12,"CacheUsed":41000,"CacheTotal":90000,"pace":1.5,
"Stalled":[{"Identifier":"r1","Address":"10.0.0.2:8080"},{"Identifier":"r2","Address":"?"},5]})";

const std::string rows_seed =
    R"({"Rows":[{"Table":"my","part":"","Key":"owner","Value":"bm9kZS0x","ApiVersion":412},
{"Table":"my","part":"","Key":"gone","ApiVersion":413,"Tombstone":true}],"HasMore":true,"ApiVersion":530})";

std::string question_seed()
{
    peer_question question;
    question.vm = vm_id("vm-1");
    question.at = {"10.0.0.9", 7'340};
    question.left = vm_id("vm-2");
    question.uses = engine_uses{{target_id("i-1"), {3, 1, 4'000.5, 12.25}}};
    return to_text(question);
}

std::string answer_seed()
{
    peer_answer answer;
    answer.process = 5;
    answer.registry.has_all = true;
    answer.registry.gone = {target_id("i-2")};
    answer.config = config_seed;
    return to_text(answer);
}

} // namespace

std::vector<fuzz_target> entry_fuzz_targets()
{
    return {
        {"responses", fuzz_responses, {response_seed, sized_response_seed}},
        {"events", fuzz_events, {"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"}},
        {"packed", fuzz_packed, {pack_text(config_seed), "plain"}},
        {"peer_question", fuzz_peer_question, {question_seed()}},
        {"peer_answer", fuzz_peer_answer, {answer_seed()}},
        {"entry_settings", fuzz_entry_settings, {settings_seed}},
        {"entry_config", fuzz_entry_config, {config_seed}},
        {"replica", fuzz_replica, {target_seed, report_seed}},
        {"rows", fuzz_rows, {rows_seed}},
    };
}

} // namespace dandelionstep::testing
