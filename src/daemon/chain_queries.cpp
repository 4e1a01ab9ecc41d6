#include "daemon/chain_queries.hpp"

#include "common/hash.hpp"

namespace dandelionstep {

chain_query chain_query_for(daemon_context& context, const generation_request& request,
                            const std::set<target_id>& excluded)
{
    constexpr std::size_t prefix_bytes = 256;
    constexpr std::int64_t bytes_per_token = 4;
    chain_query query;
    query.model = request.model;
    query.from = context.configured.data_centre;
    query.excluded = excluded;
    query.turn = ++context.chains_chosen;
    query.seed = hash_of(request.id.value, query.turn);
    query.prompt_tokens = {static_cast<std::int64_t>(request.prompt.size()) / bytes_per_token};
    query.expected_tokens = request.max_tokens;
    // Shorter prompts have no prefix worth going out of the way for.
    if (request.prompt.size() >= prefix_bytes) {
        query.prefix_hash = hash_of(std::string_view(request.prompt).substr(0, prefix_bytes));
    }
    query.policy = context.configured.policy;
    return query;
}

} // namespace dandelionstep
