#pragma once

#include "entry/context/entry_context.hpp"
#include "entry/suspects/suspect_messages.hpp"

#include <string_view>
#include <vector>

namespace dandelionstep {

//! Has the suspect told to the daemons that follow this one, or to the one that it follows.
void tell_suspect(entry_context& context, request_fingerprint request);

//! Has the suspected segment told to them at once.
void tell_segment(entry_context& context, segment_fingerprint segment);

//! Notes that nobody listens any more where the target's process did, and tells the daemons that read the
//! store.
void tell_ended(entry_context& context, const target_id& target, incarnation started);

//! Takes over ended processes that another daemon or the store told.
void learn_ended(entry_context& context, const std::vector<ended_report>& reports, std::string_view origin);

//! The ended processes that are known, for other daemons.
std::vector<ended_report> ended_reports(const entry_context& context);

//! Takes over suspected segments that another daemon or the store told; `origin` tells the log where they
//! came from.
void learn_segments(entry_context& context, const std::vector<segment_report>& reports,
                    std::string_view origin);

//! Takes over suspects that another daemon or the store told; `origin` tells the log where they came from.
void learn_suspects(entry_context& context, const std::vector<suspect_report>& reports,
                    std::string_view origin);

} // namespace dandelionstep
