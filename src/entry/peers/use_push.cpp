#include "entry/peers/use_push.hpp"

#include "entry/context/http_calls.hpp"
#include "entry/peers/peer_exchange.hpp"
#include "target/load_reports.hpp"

namespace dandelionstep {
namespace {

// As often as daemons tell their reader.
constexpr milliseconds push_interval{1'000};
// A data centre that can't be reached is not waited for; what it was told lapses there.
constexpr milliseconds call_timeout{400};
// Each engine takes some 100 bytes, and a daemon may spend 24 KB a second on control: all readers together
// are told of so many engines a second.
constexpr std::size_t most_engines = 200;

} // namespace

void use_push::start()
{
    this->timer = this->context.loop.run_every(push_interval, [this] { this->push(); });
}

void use_push::push()
{
    if (!this->context.controls_load()) {
        return;
    }
    const std::vector<peer> present = this->readers();
    if (present.empty()) {
        return;
    }
    peer_question message;
    message.vm = this->context.settings.vm;
    message.only_tells = true;
    message.era = this->context.era;
    message.uses_of = this->context.settings.data_centre;
    message.uses = most_used(this->uses(), most_engines / present.size());
    for (const peer& reader : present) {
        this->tell(reader, message);
    }
}

void use_push::tell(const peer& reader, const peer_question& message)
{
    if (!this->open.insert(reader.vm).second) {
        return;
    }
    send_call(this->context, reader.at, peer_call(message), call_timeout,
              [this, vm = reader.vm](const http_answer&) { this->open.erase(vm); });
}

} // namespace dandelionstep
