#pragma once

#include "request/generation.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! An engine of model "assistant", version "1".
target engine_of(const std::string& name, std::int64_t begin_layer, std::int64_t end_layer);

//! One generation over replicas "<stage><letter>" of three stages of four layers, with its chains chosen in
//! the order of the letters; a target in `dead` is ejected after one failure, in `long_dead` after
//! several; one in `gone` is not declared.
class generation_bench {
public:
    explicit generation_bench(const std::string& letters = "ab");

    std::vector<generation_action> on(const generation_event& event);
    //! Starts the generation and delivers tokens "t0 ", "t1 " and so on.
    void answer_tokens(std::int64_t count);
    std::vector<generation_action> token(std::int64_t index);
    std::vector<generation_action> fail(attempt_failure failure, const std::string& culprit);

    //! The names of the chain that the actions open, for example "0a 1b 2a"; empty when they open none.
    static std::string opened(const std::vector<generation_action>& actions);
    static const open_attempt* opening(const std::vector<generation_action>& actions);
    static const refusal* refused(const std::vector<generation_action>& actions);
    static const cancel_attempt* cancelled(const std::vector<generation_action>& actions);
    //! The names of the targets that the actions suspect.
    static std::string suspected(const std::vector<generation_action>& actions);

    generation_state state;
    time_point now{1000};
    std::set<std::string> dead;
    std::set<std::string> long_dead;
    std::set<std::string> gone;
    //! The version that all engines hold.
    std::string version = "1";

private:
    absl::StatusOr<chain> choose(const std::set<target_id>& excluded, ejected_targets ejected) const;

    std::string letters;
};

} // namespace dandelionstep::testing
