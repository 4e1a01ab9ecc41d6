#include "entry/store/store_history.hpp"

#include "adapters/log.hpp"

namespace dandelionstep {

void note_store_era(entry_context& context, store_era era, std::string_view origin)
{
    if (era <= context.era) {
        return;
    }
    const store_era before = context.era;
    const store_position known = context.position;
    context.era = era;
    context.position = {era, 0, 0};
    if (before.value == 0 && known == store_position{}) {
        return;
    }
    context.era_began_at = event_loop::now();
    ++context.metrics.store_eras;
    log_event("store_era", {{"era", era.value},
                            {"before", before.value},
                            {"from", origin},
                            {"config_position", known.config},
                            {"targets_position", known.targets},
                            {"config", context.config ? context.config->version.value : -1},
                            {"targets", static_cast<std::int64_t>(context.targets.size())}});
    if (context.on_new_era) {
        context.on_new_era();
    }
}

} // namespace dandelionstep
