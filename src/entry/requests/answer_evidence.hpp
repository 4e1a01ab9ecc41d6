#pragma once

#include "entry/requests/accepted_request.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dandelionstep {

//! What shows that an answer is to the request that was sent over its connection.
enum class answer_evidence {
    own_id,            //!< It bears the request's id.
    unused_connection, //!< It bears none, and the connection carried nothing else.
    none,              //!< It bears none, and may be to an earlier request on the connection.
    other_id,          //!< It bears the id of another request.
};

//! `answered_id`: the id in the answer; empty when it has none.
answer_evidence evidence_of(std::string_view answered_id, std::string_view attempt_id, connection_use use);

//! The evidence's name in metrics and logs.
std::string_view name_of(answer_evidence evidence);

//! A request whose answer is awaited.
struct awaited_answer {
    std::string attempt_id;
    //! Whether the request may run more than once.
    bool is_repeatable = false;
};

awaited_answer awaited_by(const accepted_request& request);

//! Since when the connection that the request goes over may not have carried anything; `first_sent`: when the
//! request was first sent to this address, if it was.
std::optional<time_point> carried_nothing_since(const awaited_answer& awaited,
                                                std::optional<time_point> first_sent);

//! What was found of an answer.
struct answer_check {
    answer_evidence evidence = answer_evidence::none;
    //! Whether it is taken for the one to the request.
    bool is_own = false;
};

//! Looks whose an answer is; records those that are not taken for the one to the request. An answer without
//! evidence counts only for a request that may be repeated.
answer_check check_answer(entry_context& context, const awaited_answer& awaited, const http_head& head,
                          connection_use use);

//! Whether the status tells a caller that its request has not run and never will.
bool promises_not_run(int status);

//! Counts a refusal by what shows that it is to the request.
void count_refusal(entry_context& context, answer_evidence evidence);

} // namespace dandelionstep
