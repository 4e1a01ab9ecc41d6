#include "configuration/schema.hpp"

#include <algorithm>
#include <array>

namespace dandelionstep {
namespace {

// The members of each kind, with the schema version that introduced them. A member that is not listed belongs
// to a newer schema.
struct schema_member {
    std::string_view kind;
    std::string_view member;
    std::int64_t since;
};

constexpr std::array members{
    schema_member{"organisation", "token_sha256", 1},
    schema_member{"organisation", "weight", 1},
    schema_member{"organisation", "max_in_flight", 1},
    schema_member{"model", "version", 1},
    schema_member{"model", "layers", 1},
    schema_member{"model", "adapters", 1},
    schema_member{"model", "answer_window_ms", 1},
    schema_member{"model", "service_level", 1},
    schema_member{"model", "activation_bytes", 1},
    schema_member{"service", "idempotent_paths", 1},
    schema_member{"service", "call_timeout_ms", 1},
    schema_member{"service", "refusals_did_not_run", 1},
    schema_member{"service", "service_level", 1},
    schema_member{"target", "data_centre", 1},
    schema_member{"target", "address", 1},
    schema_member{"target", "service", 1},
    schema_member{"target", "model", 1},
    schema_member{"target", "version", 1},
    schema_member{"target", "begin_layer", 1},
    schema_member{"target", "end_layer", 1},
    schema_member{"target", "adapters", 1},
    schema_member{"target", "accelerator", 1},
    schema_member{"target", "tokens_per_second", 1},
    schema_member{"target", "step_ms", 1},
    schema_member{"target", "checks_fencing", 1},
    schema_member{"link", "from", 1},
    schema_member{"link", "to", 1},
    schema_member{"link", "latency_ms", 1},
    schema_member{"link", "megabytes_per_second", 1},
};

} // namespace

bool is_known_member(std::string_view kind, std::string_view member, std::int64_t schema_version)
{
    return std::ranges::any_of(members, [&](const schema_member& row) {
        return row.kind == kind && row.member == member && row.since <= schema_version;
    });
}

configuration_record merge_over(const configuration_record& stored, const configuration_record& written)
{
    configuration_record merged = written;
    if (stored.deleted || written.deleted || stored.schema_version <= written.schema_version) {
        return merged;
    }
    for (const auto& [name, value] : stored.body.items()) {
        if (!merged.body.contains(name) && !is_known_member(written.key.kind, name, written.schema_version)) {
            merged.body[name] = value;
        }
    }
    merged.schema_version = stored.schema_version;
    return merged;
}

std::vector<vm_id> unable_to_read(const std::vector<schema_reader>& readers, std::int64_t schema_version)
{
    std::vector<vm_id> unable;
    for (const schema_reader& reader : readers) {
        if (reader.newest_version < schema_version) {
            unable.push_back(reader.vm);
        }
    }
    return unable;
}

} // namespace dandelionstep
