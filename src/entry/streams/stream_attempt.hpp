#pragma once

#include "entry/engines/path_choice.hpp"
#include "entry/requests/accepted_request.hpp"
#include "entry/requests/answer_evidence.hpp"
#include "entry/suspects/segment_guard.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! One send of a streaming request along a path of engines.
struct stream_attempt {
    std::vector<hop> path;
    //! What was noted last of its use of the path.
    path_booking booking;
    //! Expected length of the whole answer in tokens, and what was expected at the start; nullopt if it is
    //! not estimated.
    std::optional<std::int64_t> expected_tokens;
    std::int64_t first_expected_tokens = 0;
    std::weak_ptr<channel_pool::exchange> exchange;
    http_head head;
    response_facts facts;
    answer_evidence evidence = answer_evidence::none;
    //! The body of an answer that is no stream.
    gathered_text body;
    //! Bytes of the stream that wait until it is known whether another attempt takes over.
    gathered_text held;
    bool is_stream = false;
    //! Whether it goes on with the answer that another attempt began.
    bool goes_on = false;
    //! Events of it that were passed on.
    std::int64_t events = 0;
    bool ended = false;
    //! Whether its first engine had asked for no requests, and this is to find out whether that still holds.
    bool is_backoff_trial = false;
    //! While the attempt tries segments of the prompt that may crash its target.
    std::shared_ptr<segment_trial> trial;

    explicit stream_attempt(const std::shared_ptr<byte_budget>& budget) : body(budget), held(budget) {}
};

//! Tokens of the request's prompt and of its answer, as long as that is expected to be.
std::int64_t tokens_of(const request_facts& facts);

//! What the head of an answer says of its body.
struct stream_form {
    int status = 0;
    //! In lower case and without parameters.
    std::string media_type;

    friend bool operator==(const stream_form&, const stream_form&) = default;
};

//! The form of an answer with that head.
stream_form form_of(const http_head& head);

//! Whether nothing but the end of its connection tells that the answer is complete.
bool ends_with_connection(const http_head& head);

//! What happens to an attempt; nothing is called once it was ended from here.
struct stream_attempt_callbacks {
    //! Whether the request may still be sent once a connection is made.
    std::function<bool()> may_send;
    std::function<void(const std::shared_ptr<stream_attempt>&)> on_head;
    //! False when the stream brings what no stream may.
    std::function<bool(const std::shared_ptr<stream_attempt>&, std::string_view part)> on_body;
    std::function<void(const std::shared_ptr<stream_attempt>&, exchange_end end, bool reused)> on_end;
};

//! Where a stream goes, and from where it goes on.
struct stream_sending {
    std::vector<hop> path;
    std::optional<std::int64_t> last_event;
    //! When the request was first sent to the path's first engine, if it was.
    std::optional<time_point> first_sent;
};

//! Sends the request along the path, to go on after the last event.
std::shared_ptr<stream_attempt> begin_attempt(entry_context& context, const accepted_request& request,
                                              stream_sending sending, stream_attempt_callbacks callbacks);

//! Takes another path for the attempt, without telling its engines.
void change_attempt_path(entry_context& context, stream_attempt& attempt, std::vector<hop> path);

//! Notes that `tokens` tokens of the answer have come in all.
void note_arrived(entry_context& context, const accepted_request& request, stream_attempt& attempt,
                  std::int64_t tokens);

//! Ends the attempt's exchange if it still runs, and gives its place on the path back.
void end_attempt(entry_context& context, stream_attempt& attempt);

} // namespace dandelionstep
