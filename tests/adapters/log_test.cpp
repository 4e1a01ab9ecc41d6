#include "adapters/log.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

TEST_CASE("a logged value can't forge a field or a line")
{
    CHECK(escape_log_value("plain-value_1.5") == "plain-value_1.5");
    CHECK(escape_log_value("") == "\"\"");
    CHECK(escape_log_value("two words") == "\"two words\"");
    CHECK(escape_log_value("a=b") == "\"a=b\"");
    CHECK(escape_log_value("x\nevent=forged") == "\"x\\x0aevent=forged\"");
    CHECK(escape_log_value("say \"no\"") == "\"say \\\"no\\\"\"");
    CHECK(escape_log_value("back\\slash") == "\"back\\\\slash\"");
    CHECK(escape_log_value(std::string("nul\0byte", 8)) == "\"nul\\x00byte\"");
}
