#include "adapters/random.hpp"

#include "absl/strings/str_cat.h"

#include <openssl/rand.h>

namespace dandelionstep {

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof(seed));
    return seed;
}

std::string random_id()
{
    return absl::StrCat(absl::Hex(random_seed(), absl::kZeroPad16),
                        absl::Hex(random_seed(), absl::kZeroPad16));
}

} // namespace dandelionstep
