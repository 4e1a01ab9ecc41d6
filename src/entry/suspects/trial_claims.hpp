#pragma once

#include "entry/store/store_client.hpp"
#include "request/segment_suspects.hpp"

#include <map>
#include <optional>
#include <string>

namespace dandelionstep {

//! Name of the table that says which daemon tries a suspected segment.
inline constexpr const char* trials_table = "dandelionstep-trials";

//! Whether this daemon may try a suspected segment.
enum class claim_state {
    granted,
    pending, //!< The store was asked.
    refused  //!< Another daemon tries it.
};

//! Lets one daemon of the whole system try a suspected segment at a time: each would lose a target to it. A
//! claim is a row that is written on condition, and lapses when it was not renewed for some time. Where the
//! store can't tell for long, each daemon decides for itself.
class trial_claims {
public:
    trial_claims(entry_context& context, store_client& store) : context(context), store(store) {}

    //! Claims the trial unless that was done lately. Crashes and answers end all claims from before.
    claim_state claim(const trial_name& trial);
    //! Forgets the claims, as the store came back from an older copy.
    void begin_era();

private:
    struct claim_record {
        claim_state state = claim_state::refused;
        time_point until{0};
        //! The row as it was seen last, and since when it has not changed.
        std::int64_t row_version = 0;
        time_point unchanged_since{0};
        //! Since when the store does not answer.
        std::optional<time_point> undecided_since;
    };

    void ask(const std::string& key, claim_record& record);
    void take(const std::string& key, const store_answer& answer);
    void forget_old();

    entry_context& context;
    store_client& store;
    std::map<std::string, claim_record> claims;
};

} // namespace dandelionstep
