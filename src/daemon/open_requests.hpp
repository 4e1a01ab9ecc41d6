#pragma once

#include "adapters/caller_server.hpp"
#include "common/ids.hpp"

#include <map>
#include <memory>
#include <vector>

namespace dandelionstep {

//! The requests whose callers wait for an answer.
class open_requests {
public:
    void add(const request_id& id, const std::shared_ptr<caller_reply>& reply);
    [[nodiscard]] std::vector<request_id> names() const;
    //! Tells every waiting caller that the daemon stops before the answer is whole.
    void give_up();

private:
    void drop_answered();

    std::map<request_id, std::weak_ptr<caller_reply>> replies;
    std::size_t next_cleaning = 64;
};

} // namespace dandelionstep
