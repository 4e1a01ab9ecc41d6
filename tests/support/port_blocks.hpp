#pragma once

#include <cstdint>
#include <optional>

namespace dandelionstep::testing {

//! Ports that no other process of the tests takes as long as the object lives, also while nobody listens.
class port_block {
public:
    //! Below the ports that the kernel gives to outgoing connections.
    static constexpr int first_port = 10'000;
    static constexpr int ports_in_block = 100;
    static constexpr int block_count = 216;
    //! Blocks behind those, which only a test that names one takes.
    static constexpr int named_block_count = 4;

    //! Nothing when another process or object has the block.
    static std::optional<port_block> take(int number);

    ~port_block();
    port_block(port_block&& other) noexcept;
    port_block& operator=(port_block&& other) noexcept;
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    //! The block's next port, each once; nothing when it is used up.
    std::optional<std::uint16_t> next_port();

private:
    port_block(int number, int claim)
        : next(first_port + number * ports_in_block), left(ports_in_block), claim(claim)
    {}

    int next;
    int left;
    //! A socket with the block's name, which the kernel gives up with the process.
    int claim;
};

} // namespace dandelionstep::testing
