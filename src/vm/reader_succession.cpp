#include "vm/reader_succession.hpp"

#include <algorithm>

namespace dandelionstep {

void set_successors(reader_succession& succession, const peer& reader, const std::vector<peer>& successors)
{
    succession = {};
    succession.line.push_back(reader);
    std::ranges::copy_if(successors, std::back_inserter(succession.line),
                         [&reader](const peer& one) { return one.vm != reader.vm; });
}

void note_reply(reader_succession& succession, reader_reply reply)
{
    if (reply == reader_reply::current) {
        succession.next = 0;
        succession.any_answered = false;
        return;
    }
    ++succession.next;
    succession.any_answered = succession.any_answered || reply == reader_reply::outdated;
}

void add_referral(reader_succession& succession, const peer& other)
{
    std::vector<peer>& line = succession.line;
    const auto next = line.begin() + static_cast<std::ptrdiff_t>(std::min(succession.next, line.size()));
    const auto known = std::ranges::find(line, other.vm, &peer::vm);
    if (known == line.end()) {
        line.insert(next, other);
    } else if (known > next) {
        std::rotate(next, known, known + 1);
    }
}

succession_step next_step(reader_succession& succession, const vm_id& self, bool is_reader)
{
    const std::vector<peer>& line = succession.line;
    const bool is_own_turn = succession.next < line.size() && line[succession.next].vm == self;
    if (is_own_turn) {
        ++succession.next;
        if (!is_reader) {
            return succession_step::read;
        }
    }
    if (succession.next < line.size()) {
        return succession_step::ask;
    }
    const bool any_answered = succession.any_answered;
    succession.next = 0;
    succession.any_answered = false;
    return any_answered || is_reader ? succession_step::pause : succession_step::search;
}

} // namespace dandelionstep
