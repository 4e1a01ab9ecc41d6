#pragma once

#include "common/strong.hpp"

namespace dandelionstep {

using vm_id = strong_id<struct vm_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using target_id = strong_id<struct target_tag>;
using organisation_id = strong_id<struct organisation_tag>;
using model_id = strong_id<struct model_tag>;
using service_id = strong_id<struct service_tag>;
//! A segment of a prompt, named by its content; equal segments of different prompts have the same id.
using segment_id = strong_id<struct segment_tag>;
using request_id = strong_id<struct request_tag>;
using change_id = strong_id<struct change_tag>;
//! The key by which a caller names one order, unique within its organisation and service.
using order_key = strong_id<struct order_key_tag>;

//! Tokens of a prompt or an answer.
using token_count = strong_count<struct token_unit>;
//! A layer's index within its model.
using layer_index = strong_count<struct layer_unit>;
using byte_count = strong_count<struct byte_unit>;
//! The number of a configuration state; one accepted change advances it by one.
using revision = strong_count<struct revision_unit>;
//! A number that grows with each start of a process or engine at the same address.
using incarnation = strong_count<struct incarnation_unit>;
//! The number of a try to answer one request, from 1.
using attempt_number = strong_count<struct attempt_unit>;

} // namespace dandelionstep
