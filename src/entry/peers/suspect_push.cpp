#include "entry/peers/suspect_push.hpp"

#include "adapters/log.hpp"
#include "entry/context/http_calls.hpp"
#include "entry/peers/peer_exchange.hpp"
#include "entry/suspects/suspect_sharing.hpp"

namespace dandelionstep {
namespace {

constexpr int status_ok = 200;
// Several suspects of one crash are told together.
constexpr milliseconds push_delay{5};
// A data centre that can't be reached is not waited for.
constexpr milliseconds call_timeout{400};

} // namespace

void suspect_push::push_soon()
{
    this->timer = this->context.loop.run_after(push_delay, [this] { this->push(); });
}

void suspect_push::push()
{
    for (const peer& reader : this->readers()) {
        told_state& told = this->told[reader.vm];
        if (told.is_open) {
            told.has_more = true;
        } else {
            this->tell(reader, told);
        }
    }
}

void suspect_push::tell(const peer& reader, told_state& told)
{
    const time_point now = event_loop::now();
    peer_question message;
    message.vm = this->context.settings.vm;
    message.only_tells = true;
    message.era = this->context.era;
    const suspect_update suspects = updates_since(this->context.suspects, told.suspects, now);
    message.suspects = suspects.reports;
    message.told_suspects = suspects.sequence;
    const segment_update segments = segment_updates_since(this->context.segments, told.segments, now);
    message.segments = segments.reports;
    message.told_segments = segments.sequence;
    message.ended = ended_reports(this->context);
    told.is_open = true;
    told.has_more = false;
    send_call(this->context, reader.at, peer_call(message), call_timeout,
              [this, reader, message](const http_answer& answered) {
                  this->take(reader, message, answered.status == status_ok);
              });
}

void suspect_push::take(const peer& reader, const peer_question& message, bool is_told)
{
    told_state& told = this->told[reader.vm];
    told.is_open = false;
    if (!is_told) {
        log_event("suspects_untold", {{"to", reader.vm.value}});
        return;
    }
    told.suspects = message.told_suspects;
    told.segments = message.told_segments;
    if (told.has_more) {
        this->tell(reader, told);
    }
}

} // namespace dandelionstep
