#include "vm/settings.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "common/toml_text.hpp"
#include "target/parse_endpoint.hpp"
#include "vm/nearest_name.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <optional>

namespace dandelionstep {
namespace {

// Stores a value in the settings, or returns what is wrong with it.
using setter = std::function<std::optional<std::string>(settings&, const toml::node&)>;

struct setting_key {
    std::string path;
    bool required;
    std::string default_text;
    setter store;
};

template <class Wrap>
setter text_setter(Wrap wrap)
{
    return [wrap](settings& into, const toml::node& node) -> std::optional<std::string> {
        const auto* text = node.as_string();
        if (text == nullptr) {
            return "must be a string";
        }
        if (text->get().empty()) {
            return "must not be empty";
        }
        wrap(into, text->get());
        return std::nullopt;
    };
}

setter endpoint_setter(endpoint settings::*member)
{
    return [member](settings& into, const toml::node& node) -> std::optional<std::string> {
        const auto* text = node.as_string();
        if (text == nullptr) {
            return "must be a string like \"192.0.2.1:8080\"";
        }
        auto parsed = parse_endpoint(text->get());
        if (!parsed.ok()) {
            return std::string(parsed.status().message());
        }
        into.*member = *std::move(parsed);
        return std::nullopt;
    };
}

template <class Store>
setter integer_setter(std::int64_t least, std::int64_t most, Store store)
{
    return [least, most, store](settings& into, const toml::node& node) -> std::optional<std::string> {
        const auto* number = node.as_integer();
        if (number == nullptr) {
            return "must be a whole number";
        }
        if (number->get() < least || number->get() > most) {
            return absl::StrCat("must be between ", least, " and ", most, ", is ", number->get());
        }
        store(into, number->get());
        return std::nullopt;
    };
}

setter count_setter(std::int64_t settings::*member, std::int64_t least, std::int64_t most)
{
    return integer_setter(least, most,
                          [member](settings& into, std::int64_t value) { into.*member = value; });
}

setter time_setter(milliseconds settings::*member, std::int64_t least, std::int64_t most)
{
    return integer_setter(least, most,
                          [member](settings& into, std::int64_t value) { into.*member = {value}; });
}

std::optional<std::string> store_seeds(settings& into, const toml::node& node)
{
    const toml::array* list = node.as_array();
    if (list == nullptr) {
        return "must be a list of addresses";
    }
    for (const toml::node& entry : *list) {
        const auto* text = entry.as_string();
        auto parsed = parse_endpoint(text == nullptr ? "" : text->get());
        if (!parsed.ok()) {
            return std::string(parsed.status().message());
        }
        into.seeds.push_back(*std::move(parsed));
    }
    return std::nullopt;
}

std::optional<std::string> store_operator_token(settings& into, const toml::node& node)
{
    constexpr std::size_t sha256_hex_length = 64;
    const auto* text = node.as_string();
    if (text == nullptr || text->get().size() != sha256_hex_length ||
        text->get().find_first_not_of("0123456789abcdef") != std::string::npos) {
        return "must be 64 lower-case hexadecimal digits";
    }
    into.operator_token_sha256 = text->get();
    return std::nullopt;
}

setter tls_path_setter(std::string tls_files::*member)
{
    return text_setter([member](settings& into, const std::string& path) {
        if (!into.tls) {
            into.tls.emplace();
        }
        *into.tls.*member = path;
    });
}

std::optional<std::string> check_boolean(settings& /*into*/, const toml::node& node)
{
    return node.is_boolean() ? std::nullopt : std::optional<std::string>("must be true or false");
}

std::optional<std::string> store_policy(settings& into, const toml::node& node)
{
    const auto* text = node.as_string();
    for (const auto& [name, policy] : chain_policy_names) {
        if (text != nullptr && text->get() == name) {
            into.policy = policy;
            return std::nullopt;
        }
    }
    return "must be \"least_cost\", \"random\", \"round_robin\" or \"least_reported\"";
}

const std::vector<setting_key>& setting_keys()
{
    constexpr std::int64_t gibibyte = 1024LL * 1024 * 1024;
    constexpr std::int64_t hour_ms = 3'600'000;
    static const std::vector<setting_key> keys{
        {"vm.name", true, "", text_setter([](settings& s, const std::string& v) { s.vm = vm_id(v); })},
        {"vm.data_centre", true, "",
         text_setter([](settings& s, const std::string& v) { s.data_centre = data_centre_id(v); })},
        {"listen.callers", true, "", endpoint_setter(&settings::callers)},
        {"listen.operators", true, "", endpoint_setter(&settings::operators)},
        {"listen.peers", true, "", endpoint_setter(&settings::peers)},
        {"platform.address", true, "", endpoint_setter(&settings::platform)},
        {"platform.timeout_ms", false, "1000", time_setter(&settings::platform_timeout, 10, 60'000)},
        {"peers.seeds", false, "[]", store_seeds},
        {"operators.token_sha256", true, "", store_operator_token},
        {"tls.enabled", false, "true", check_boolean},
        {"tls.certificate", false, "", tls_path_setter(&tls_files::certificate)},
        {"tls.key", false, "", tls_path_setter(&tls_files::key)},
        {"tls.authority", false, "", tls_path_setter(&tls_files::authority)},
        {"limits.max_body_bytes", false, "1048576", count_setter(&settings::max_body_bytes, 1024, gibibyte)},
        {"limits.max_connections", false, "4096", count_setter(&settings::max_connections, 1, 1'000'000)},
        {"limits.max_requests", false, "2048", count_setter(&settings::max_requests, 1, 1'000'000)},
        {"limits.token_gap_ms", false, "400", time_setter(&settings::token_gap, 10, 60'000)},
        {"limits.first_token_gap_ms", false, "1500", time_setter(&settings::first_token_gap, 10, 600'000)},
        {"limits.max_attempts", false, "8", count_setter(&settings::max_attempts, 1, 100)},
        {"limits.drain_limit_ms", false, "60000", time_setter(&settings::drain_limit, 0, hour_ms)},
        {"limits.balancer_notice_ms", false, "1000", time_setter(&settings::balancer_notice, 0, 60'000)},
        {"routing.token_target_ms", false, "45", time_setter(&settings::token_target, 1, 60'000)},
        {"routing.policy", false, "\"least_cost\"", store_policy},
    };
    return keys;
}

std::vector<std::string> key_names()
{
    std::vector<std::string> names;
    for (const setting_key& key : setting_keys()) {
        names.push_back(key.path);
    }
    return names;
}

// Collects all errors of a file, so that one check reports them together.
class settings_reader {
public:
    settings_reader(std::string file_name) : file_name(std::move(file_name)) {}

    void read(const toml::table& document)
    {
        this->refuse_unknown(document, "");
        for (const setting_key& key : setting_keys()) {
            const toml::node* node = document.at_path(key.path).node();
            if (node == nullptr) {
                if (key.required) {
                    this->fail(this->line_of_section(document, key.path), key.path, "is missing");
                }
                continue;
            }
            if (const auto reason = key.store(this->parsed, *node)) {
                this->fail(node->source().begin.line, key.path, *reason);
            }
        }
    }

    // TLS is off only if the file says so; otherwise all three files are required.
    void check_tls(const toml::table& document)
    {
        if (!document.at_path("tls.enabled").value_or(true)) {
            this->parsed.tls.reset();
            return;
        }
        for (const char* key : {"tls.certificate", "tls.key", "tls.authority"}) {
            if (!document.at_path(key)) {
                this->fail(line_of_section(document, "tls"), key,
                           "is missing; TLS is off only with tls.enabled = false");
            }
        }
    }

    absl::StatusOr<settings> result() &&
    {
        if (!this->errors.empty()) {
            return absl::InvalidArgumentError(absl::StrJoin(this->errors, "\n"));
        }
        return std::move(this->parsed);
    }

private:
    void refuse_unknown(const toml::table& table, const std::string& prefix)
    {
        const std::vector<std::string> known = key_names();
        for (const auto& [name, node] : table) {
            const std::string path = absl::StrCat(prefix, std::string(name.str()));
            const bool is_section = std::ranges::any_of(
                known, [&](const std::string& key) { return key.starts_with(path + "."); });
            if (is_section && node.is_table()) {
                this->refuse_unknown(*node.as_table(), path + ".");
            } else if (std::ranges::find(known, path) == known.end()) {
                const std::string nearest = nearest_name(path, known);
                this->fail(node.source().begin.line, path,
                           nearest.empty()
                               ? "is not a known key"
                               : absl::StrCat("is not a known key; did you mean \"", nearest, "\"?"));
            }
        }
    }

    static std::uint32_t line_of_section(const toml::table& document, const std::string& path)
    {
        const toml::node* section = document.get(path.substr(0, path.find('.')));
        return section == nullptr ? 1 : section->source().begin.line;
    }

    void fail(std::uint32_t line, const std::string& key, const std::string& reason)
    {
        this->errors.push_back(absl::StrCat(this->file_name, ":", line, ": key \"", key, "\" ", reason));
    }

    std::string file_name;
    settings parsed;
    std::vector<std::string> errors;
};

} // namespace

absl::StatusOr<settings> parse_settings(const std::string& toml_text, const std::string& file_name)
{
    const auto document = parse_toml(toml_text, file_name);
    if (!document.ok()) {
        return document.status();
    }
    settings_reader reader(file_name);
    reader.read(*document);
    reader.check_tls(*document);
    return std::move(reader).result();
}

std::string default_settings()
{
    std::string text;
    std::string section;
    for (const setting_key& key : setting_keys()) {
        const std::size_t dot = key.path.find('.');
        if (key.path.substr(0, dot) != section) {
            section = key.path.substr(0, dot);
            absl::StrAppend(&text, text.empty() ? "" : "\n", "[", section, "]\n");
        }
        const std::string name = key.path.substr(dot + 1);
        if (key.default_text.empty()) {
            absl::StrAppend(&text, "# ", name, " = ...  (required",
                            key.required ? "" : " unless tls.enabled = false", ")\n");
        } else {
            absl::StrAppend(&text, name, " = ", key.default_text, "\n");
        }
    }
    return text;
}

} // namespace dandelionstep
