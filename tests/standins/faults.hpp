#pragma once

#include "adapters/http_server.hpp"
#include "common/json.hpp"

#include <memory>

namespace dandelionstep::standins {

//! Named fault switches, set over a stand-in's own HTTP: POST /faults with a JSON object merges into them.
class fault_switches {
public:
    //! Answers /faults; false when the path is another one.
    bool handle(const received_request& request, const std::shared_ptr<http_reply>& reply);

    [[nodiscard]] bool on(const char* name) const { return boolean_or(this->values, name, false); }
    [[nodiscard]] std::int64_t number(const char* name, std::int64_t fallback = 0) const
    {
        return integer_or(this->values, name, fallback);
    }
    [[nodiscard]] std::string text(const char* name) const { return string_or(this->values, name, ""); }
    //! Whether the switch is a list that holds the value.
    [[nodiscard]] bool lists(const char* name, const std::string& value) const;
    //! Counts a switch down; true while it was above 0.
    bool take(const char* name);
    //! The value of a switch that works once; 0 when it is not set.
    std::int64_t take_number(const char* name);

private:
    json values = json::object();
};

} // namespace dandelionstep::standins
