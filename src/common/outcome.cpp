#include "common/outcome.hpp"

#include <array>

namespace dandelionstep {
namespace {

struct error_traits {
    error_code code;
    std::string_view name;
    int status;
};

constexpr std::array error_table{
    error_traits{error_code::bad_request, "bad_request", 400},
    error_traits{error_code::body_too_large, "body_too_large", 413},
    error_traits{error_code::unauthorised, "unauthorised", 401},
    error_traits{error_code::unknown_route, "unknown_route", 404},
    error_traits{error_code::key_required, "key_required", 400},
    error_traits{error_code::key_reused, "key_reused", 422},
    error_traits{error_code::conflict, "conflict", 409},
    error_traits{error_code::overloaded, "overloaded", 429},
    error_traits{error_code::no_capacity, "no_capacity", 503},
    error_traits{error_code::stopping, "stopping", 503},
    error_traits{error_code::not_ready, "not_ready", 503},
    error_traits{error_code::store_unavailable, "store_unavailable", 503},
    error_traits{error_code::deadline_exceeded, "deadline_exceeded", 504},
    error_traits{error_code::target_failed, "target_failed", 502},
    error_traits{error_code::unsettled, "unsettled", 409},
    error_traits{error_code::suspected_crasher, "suspected_crasher", 422},
    error_traits{error_code::answer_not_kept, "answer_not_kept", 410},
    error_traits{error_code::settled_by_operator, "settled_by_operator", 409},
};

const error_traits& traits(error_code code)
{
    for (const error_traits& row : error_table) {
        if (row.code == code) {
            return row;
        }
    }
    return error_table.front();
}

} // namespace

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::completed:
        return "completed";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(error_code code)
{
    return traits(code).name;
}

bool is_callers_fault(error_code code)
{
    switch (code) {
    case error_code::bad_request:
    case error_code::body_too_large:
    case error_code::unauthorised:
    case error_code::unknown_route:
    case error_code::key_required:
    case error_code::key_reused:
    case error_code::conflict:
    case error_code::suspected_crasher:
        return true;
    default:
        return false;
    }
}

int http_status(error_code code)
{
    return traits(code).status;
}

} // namespace dandelionstep
