#include "request/prompt_segments.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

TEST_CASE("a log line names the first segments of a prompt, each up to a bound")
{
    CHECK(segments_text({}).empty());
    CHECK(segments_text({segment_id("a"), segment_id("b")}) == "a,b");
    CHECK(segments_text(std::vector(9, segment_id("a"))) == "a,a,a,a,a,a,a,a,...");
    CHECK(segments_text({segment_id(std::string(99, 'a'))}) == std::string(32, 'a'));
}
