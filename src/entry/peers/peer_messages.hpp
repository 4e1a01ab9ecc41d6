#pragma once

#include "absl/status/statusor.h"
#include "common/clock.hpp"
#include "common/ids.hpp"
#include "entry/context/store_position.hpp"
#include "entry/suspects/suspect_messages.hpp"
#include "request/segment_suspects.hpp"
#include "request/suspects.hpp"
#include "target/engine_use.hpp"
#include "target/leaving.hpp"
#include "target/registry_update.hpp"
#include "vm/peer.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! A daemon asks the one that reads the store for its data centre what is new.
struct peer_question {
    vm_id vm;
    //! Where the asker answers in turn; port 0 when nowhere.
    endpoint at;
    //! How well the asker could answer the others, in Mbit/s.
    double capacity = 0;
    //! The reader that failed the asker, which wants this daemon to read the store; empty in usual questions.
    vm_id left;
    //! The asker reaches the store and says so to those that did not.
    bool reads_store = false;
    //! Process whose numbering `sequence` belongs to; 0 when nothing is known yet.
    std::uint64_t process = 0;
    //! The last change of targets that the asker has.
    std::int64_t sequence = 0;
    //! Digest of all the targets that the asker knows.
    std::uint64_t registry_digest = 0;
    std::int64_t config_version = -1;
    //! Whether the asker takes packed parts in the answer.
    bool takes_packed = false;
    //! How long the answer may wait for a change.
    milliseconds wait{0};
    //! What the asker's own requests take; told now and then, and answered with what all take.
    std::optional<engine_uses> uses;
    //! With `only_tells`: `uses` are those of all daemons of this data centre, which the asker reads the
    //! store for.
    data_centre_id uses_of;
    //! Targets of which the asker knows by their own answers that they leave.
    leaving_marks leaving;
    //! Suspects that the asker tells, and the last change of suspects that it has of this process.
    std::vector<suspect_report> suspects;
    std::int64_t suspects_sequence = -1;
    //! The same of suspected segments of prompts.
    std::vector<segment_report> segments;
    std::int64_t segments_sequence = -1;
    //! The store's era that the asker knows; 0 if none.
    store_era era;
    //! Whether it only tells what the asker knows, and wants no answer.
    bool only_tells = false;
    //! Processes of targets that the asker knows to have ended.
    std::vector<ended_report> ended;
    //! Of the asker alone, and not sent: up to which of its own changes `suspects` and `segments` tell.
    std::int64_t told_suspects = 0;
    std::int64_t told_segments = 0;
};

//! What is new since the question's state, and how old that knowledge is.
struct peer_answer {
    std::uint64_t process = 0;
    registry_update registry;
    //! The configuration as the operators wrote it; empty when the asker has it.
    std::string config;
    //! Time since which the store may hold a newer configuration, or newer registrations.
    milliseconds config_age{0};
    milliseconds targets_age{0};
    //! Whether the store answered the answering daemon since it began to read, and its last calls.
    bool reaches_store = true;
    //! Time from the store's last answer to when the question came; negative when the store answered while
    //! the question waited, and nullopt when it answered nothing.
    std::optional<milliseconds> store_age;
    //! From where the changes in the store go on that are not in this answer.
    store_position position;
    //! Daemons in all, and in this data centre.
    std::int64_t daemons = 0;
    std::int64_t siblings = 0;
    //! Those that take over from the reader when it fails, in this order.
    std::vector<peer> successors;
    //! Another daemon that knows more than this one.
    std::optional<peer> better;
    //! Suspects that changed, and the number of the last change.
    std::vector<suspect_report> suspects;
    std::int64_t suspects_sequence = 0;
    //! The same of suspected segments of prompts.
    std::vector<segment_report> segments;
    std::int64_t segments_sequence = 0;
    //! What the requests of the data centre's daemons take, the asker's included, if the question told those.
    std::optional<engine_uses> uses;
};

//! The parts of an answer that many daemons get alike, as they stand in its text.
struct answer_parts {
    std::string_view registry;
    std::optional<std::string_view> uses;
    std::optional<std::string_view> packed_config;
};

std::string uses_text(const engine_uses& uses);

std::string to_text(const peer_question& question);
absl::StatusOr<peer_question> parse_peer_question(std::string_view text);

std::string to_text(const peer_answer& answer);
//! The answer with parts that are written already, in place of its own.
std::string to_text(const peer_answer& answer, const answer_parts& parts);
absl::StatusOr<peer_answer> parse_peer_answer(std::string_view text);

//! What a daemon says that can't tell what the store holds.
struct peer_referral {
    //! Whom to ask instead.
    std::optional<peer> better;
    //! Whether it reads the store and knows it in a moment.
    bool is_starting = false;
};

std::string to_text(const peer_referral& referral);
//! Names nobody when the text is none.
peer_referral parse_peer_referral(std::string_view text);

} // namespace dandelionstep
