#pragma once

#include "adapters/http_client.hpp"
#include "daemon/context.hpp"
#include "daemon/group.hpp"

#include <string_view>

namespace dandelionstep {

//! Notes that an incarnation of a target is leaving, and tells peers soon when that is news.
void note_leaving(daemon_context& context, const target_id& target, incarnation leaving,
                  leaving_source source);

//! Looks whether the body of a target's 503 says that the target is leaving.
void note_refusal(daemon_context& context, const target_id& target, std::string_view body);

//! As above, for an answer of which the status is not known to be 503.
void note_answer(daemon_context& context, const target_id& target, const http_result& answer);

//! Leaving marks as a kind of state that daemons share.
shared_kind share_leaving_marks(daemon_context& context);

} // namespace dandelionstep
