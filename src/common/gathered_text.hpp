#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep {

//! Memory, in bytes, for texts of unknown length that are gathered at the same time.
struct byte_budget {
    std::size_t most = 0;
    std::size_t held = 0;
};

//! Whether a text that holds `size` bytes may take `more`.
bool may_grow(const byte_budget& budget, std::size_t size, std::size_t more);

//! A text that grows within a budget, and gives its bytes back when it goes.
class gathered_text {
public:
    explicit gathered_text(std::shared_ptr<byte_budget> budget) : budget(std::move(budget)) {}
    ~gathered_text() { this->release(); }
    gathered_text(const gathered_text&) = delete;
    gathered_text& operator=(const gathered_text&) = delete;
    gathered_text(gathered_text&&) = delete;
    gathered_text& operator=(gathered_text&&) = delete;

    //! False, and nothing is added, when the text would grow beyond what it may hold.
    bool append(std::string_view part);
    [[nodiscard]] std::size_t size() const { return this->bytes; }
    //! All of it in one piece.
    [[nodiscard]] std::string text() const;
    //! Hands the text over and is empty afterwards.
    std::string take();

private:
    void release();

    std::shared_ptr<byte_budget> budget;
    //! A single growing text would take up to twice its size, and a third time that while it grows.
    std::vector<std::string> pieces;
    std::size_t bytes = 0;
};

} // namespace dandelionstep
