#pragma once

#include "adapters/caller_port.hpp"
#include "entry/context/entry_context.hpp"
#include "entry/peers/peer_messages.hpp"
#include "entry/peers/shared_answers.hpp"
#include "entry/peers/waiting_questions.hpp"
#include "entry/store/store_client.hpp"
#include "target/load_reports.hpp"
#include "vm/successor_list.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dandelionstep {

//! Answers the daemons of the same data centre that follow this one instead of reading the store themselves.
class peer_port {
public:
    peer_port(entry_context& context, std::uint64_t process);

    //! Whether this daemon reads the store itself; only then it answers, so that nothing is learnt
    //! third-hand.
    std::function<bool()> is_reader;
    //! How the store answers this daemon while it reads.
    std::function<store_contact()> contact;
    //! When the store last answered this daemon; 0 when it never did.
    std::function<time_point()> store_answered_at;
    //! Called when a daemon whose reader failed wants this one to read the store.
    std::function<void(const vm_id& left)> on_left;
    //! The reader that this daemon itself follows.
    std::function<std::optional<peer>()> own_reader;

    absl::Status listen(const endpoint& at);
    //! Daemons that asked lately.
    [[nodiscard]] std::set<vm_id> followers() const;
    //! Followers that take over from this daemon when it fails, in this order.
    [[nodiscard]] std::vector<peer> successors() const;
    //! What the requests of the followers, and of other data centres as far as they told, take together.
    engine_uses others_uses();
    //! What the requests of this data centre's daemons take.
    engine_uses data_centre_uses();

private:
    struct asker {
        endpoint at;
        double capacity = 0;
        time_point asked_at;
    };

    void take(const std::shared_ptr<caller_exchange>& caller);
    void note_asker(const peer_question& question);
    void answer(const pending_question& asked);
    [[nodiscard]] bool has_news_for(const peer_question& question) const;
    [[nodiscard]] store_contact present_contact() const;
    [[nodiscard]] bool may_answer(const peer_question& question) const;
    std::string answer_to(const pending_question& asked);
    std::string registry_part(const peer_question& question, peer_answer& answer);
    [[nodiscard]] std::optional<peer> better_reader() const;

    entry_context& context;
    std::uint64_t process;
    caller_port port;
    std::map<vm_id, asker> askers;
    successor_list line;
    //! A daemon that said that it reaches the store, and when.
    std::optional<peer> announced;
    time_point announced_at{0};
    load_reports shared;
    //! Reports of the readers of other data centres, by data centre.
    load_reports elsewhere;
    shared_answers answers;
    waiting_questions questions;
};

//! What this daemon's own requests take of engines.
engine_uses own_uses(const entry_context& context);

//! The age of the store's last answer when a question came; nullopt when it never answered, which is 0.
std::optional<milliseconds> store_age(time_point answered_at, time_point came_at);

} // namespace dandelionstep
