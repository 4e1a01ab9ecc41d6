#pragma once

#include "support/entry_cluster.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace dandelionstep::testing {

//! The engines of the attempt's path, from the ledger of the one that it entered.
std::string path_of(entry_cluster& cluster, const std::string& attempt);

//! The id of an engine of the path: the first one, or a later one.
std::string engine_in(entry_cluster& cluster, const std::string& path, bool first);

//! The first line of the text that holds `part`; empty if none does.
std::string line_with(const std::string& text, const std::string& part);
//! All of them, as they stand in the text.
std::string lines_with(const std::string& text, const std::string& part);
//! A number of a log line; -1 when the line has no such field.
std::int64_t number_in(const std::string& line, const std::string& field);

//! Streams one question at the first daemon while `strike` is carried out after its path is known.
caller_answer stream_while(entry_cluster& cluster, const std::string& attempt, const std::string& body,
                           const std::function<void(const std::string& path)>& strike);

} // namespace dandelionstep::testing
