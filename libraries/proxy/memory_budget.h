#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace wisterialane::proxy {

class memory_budget;

/// What reserved memory holds. Each use has a part of the budget of its own. So large messages cannot keep small ones
/// out, and requests cannot take the memory without which they would not get their responses.
enum class memory_use {
    /// A request larger than `small_message_bytes`.
    large_request,
    /// A response larger than `small_message_bytes`, or one that may become so.
    large_response,
    /// Any other request, or input that was read ahead.
    small_request,
    /// Any other response.
    small_response,
};

/// Greatest size of a small message.
inline constexpr std::size_t small_message_bytes = std::size_t{64} * 1024;

/// A part of the budget, which is returned when the object is destroyed.
class memory_reservation {
public:
    memory_reservation() = default;
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation();

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    /// Bytes that are missing for a reservation of `bytes` in total for this use.
    [[nodiscard]] std::size_t missing(std::size_t bytes, memory_use use) const;

    /// Reserves `bytes` in total for this use, if `spared` bytes of its part stay available. Always succeeds if that is
    /// no more than before and for the same use. Returns whether it succeeded; if not, nothing has changed.
    [[nodiscard]] bool resize(memory_budget& budget, std::size_t bytes, memory_use use, std::size_t spared = 0);

    void release();

private:
    std::shared_ptr<memory_budget> budget_;
    memory_use use_ = memory_use::small_request;
    std::size_t bytes_ = 0;
};

/// Memory of the process for the messages of callers and upstreams, in bytes. Whoever receives a message reserves
/// memory for it first. If the budget is used up, a request is refused, while a response waits: the upstream has
/// executed the request, and is kept from sending by the flow control of its connection.
///
/// Used on the proxy's thread only. Held by a shared pointer, because messages may outlive their host.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
public:
    /// A place in the queue for memory, which is given up when the object is destroyed.
    class waiting_position {
    public:
        waiting_position() = default;
        waiting_position(const waiting_position&) = delete;
        waiting_position& operator=(const waiting_position&) = delete;

        ~waiting_position() { leave(); }

        void leave();

    private:
        friend class memory_budget;

        std::shared_ptr<memory_budget> budget_;
        memory_use use_ = memory_use::small_response;
        std::size_t bytes_ = 0;
        std::function<void()> available_;
    };

    explicit memory_budget(std::size_t capacity) : capacity_{capacity} {}

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    void set_capacity(std::size_t bytes);

    [[nodiscard]] std::size_t capacity() const { return capacity_; }

    /// Bytes in use, for all uses together.
    [[nodiscard]] std::size_t used() const;

    /// The greatest number of bytes that were in use at once.
    [[nodiscard]] std::size_t peak() const { return peak_; }

    /// Size of the part for this use.
    [[nodiscard]] std::size_t capacity(memory_use use) const;

    /// Whether `bytes` more can be reserved for this use now.
    [[nodiscard]] bool is_available(std::size_t bytes, memory_use use) const;

    /// Waits until `bytes` more may be available for this use, in order of arrival among those with the same use, and
    /// calls the function once. It may run while memory is being returned, so it must not reserve or return any itself.
    void wait(waiting_position& position, std::size_t bytes, memory_use use, std::function<void()> available);

private:
    friend class memory_reservation;

    static constexpr std::size_t use_count = 4;

    /// The part of the budget for one use.
    struct part {
        std::size_t used = 0;
        std::list<waiting_position*> waiting;
    };

    [[nodiscard]] part& part_for(memory_use use) { return parts_[static_cast<std::size_t>(use)]; }

    void take(std::size_t bytes, memory_use use);
    void give_back(std::size_t bytes, memory_use use);
    void notify_waiting(memory_use use);

    std::size_t capacity_;
    std::size_t peak_ = 0;
    std::array<part, use_count> parts_;
};

} // namespace wisterialane::proxy
