#pragma once

#include "entry/context/entry_context.hpp"

#include <string_view>

namespace dandelionstep {

//! Notes an era that an answer of the store, or another daemon, told (`origin`). A later one than the known
//! one means that the store came back from an older copy: everything has to be read again. The first one that
//! is told to a daemon which knows nothing of the store changes nothing.
void note_store_era(entry_context& context, store_era era, std::string_view origin);

} // namespace dandelionstep
