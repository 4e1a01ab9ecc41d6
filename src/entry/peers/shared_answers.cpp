#include "entry/peers/shared_answers.hpp"

#include "common/packed_text.hpp"
#include "entry/peers/peer_messages.hpp"
#include "entry/registry/registry_messages.hpp"

namespace dandelionstep {
namespace {

// A list of thousands of targets takes tens of milliseconds to write, and a hundred daemons may ask for it in
// the same moment. What changed since is asked for next.
constexpr milliseconds list_validity{500};

bool is_valid(const shared_answers::full_list& list, const known_targets& known, time_point now)
{
    return now - list.written_at < list_validity && list.unconfirmed == known.unconfirmed &&
           remembers(known.changes, list.sequence);
}

} // namespace

const shared_answers::full_list& full_list_of(shared_answers& answers, const known_targets& known,
                                              time_point now)
{
    if (!answers.all || !is_valid(*answers.all, known, now)) {
        const registry_update news =
            updates_since(known.changes, known.registry, known.unconfirmed, std::nullopt);
        const std::string text = registry_text(news);
        answers.all = {
            text, packed_registry(text), news.sequence, known.unconfirmed, known.as_of, known.position, now};
    }
    return *answers.all;
}

const std::string& packed_config_of(shared_answers& answers, revision version, const std::string& text)
{
    if (answers.config_version != version) {
        answers.config = pack_text(text);
        answers.config_version = version;
    }
    return answers.config;
}

const std::string& uses_text_of(shared_answers& answers, load_reports& told,
                                const std::function<engine_uses()>& own, time_point now)
{
    const engine_uses& followers = total_use(told, now);
    if (answers.uses_summed_at != told.summed_at) {
        engine_uses sum = followers;
        add_uses(sum, own());
        answers.uses = uses_text(sum);
        answers.uses_summed_at = told.summed_at;
    }
    return answers.uses;
}

} // namespace dandelionstep
