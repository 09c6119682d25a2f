/// \file
/// Account of connections and unfinished requests.
#include "hawthornbeam/server/admission.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <set>

namespace hawthornbeam
{

namespace
{

constexpr std::array<refusal_rule, refusal_count> refusal_rules{{
    {refusal::header_too_large, "header_too_large", 431, "the header is too large"},
    {refusal::body_too_large, "body_too_large", 413, "the body is too large"},
    {refusal::memory_exhausted, "memory_exhausted", 503,
     "unfinished requests hold all memory for requests"},
    {refusal::request_too_slow, "request_too_slow", 408,
     "the request arrived too slowly"},
    {refusal::response_not_read, "response_not_read", 0, ""},
    {refusal::connections_exhausted, "connections_exhausted", 0, ""},
    {refusal::connection_replaced, "connection_replaced", 0, ""},
}};

/// Fractions of the resources of a process, as divisors.
constexpr std::size_t client_descriptor_divisor = 2;
constexpr std::size_t receive_buffer_divisor = 4;
constexpr std::size_t request_memory_divisor = 8;
constexpr std::size_t max_monitor_connections = 32;
/// Monitors get one descriptor for so many of the callers.
constexpr std::size_t callers_per_monitor = 4;

constexpr request_verdict proceed{};
constexpr request_verdict wait{request_verdict::action::wait, refusal()};

constexpr request_verdict refuse(refusal why)
{
    return {request_verdict::action::refuse, why};
}

std::size_t index_of(client_class of)
{
    return static_cast<std::size_t>(of);
}

} // namespace

const refusal_rule& rule_of(refusal why)
{
    const refusal_rule& rule = refusal_rules[static_cast<std::size_t>(why)];
    assert(rule.why == why && "the rules are sorted by refusal");
    return rule;
}

admission_limits limits_for(const process_resources& available)
{
    const std::size_t by_descriptors = available.descriptors / client_descriptor_divisor;
    const std::size_t by_memory =
        available.memory_bytes / receive_buffer_divisor / receive_buffer_bytes;
    const std::size_t connections =
        std::max<std::size_t>(2, std::min(by_descriptors, by_memory));
    admission_limits limits;
    const std::size_t monitors = std::clamp<std::size_t>(
        connections / callers_per_monitor, 1, max_monitor_connections);
    limits.max_connections[index_of(client_class::monitors)] = monitors;
    limits.max_connections[index_of(client_class::callers)] = connections - monitors;
    limits.request_memory_bytes = available.memory_bytes / request_memory_divisor;
    limits.response_memory_bytes = limits.request_memory_bytes;
    return limits;
}

class admission::implementation
{
public:
    explicit implementation(const admission_limits& given) : limits(given) {}

    enum class phase : std::uint8_t
    {
        opened, ///< Nothing was received yet.
        idle,   ///< After a response.
        receiving_header,
        receiving, ///< The body.
        waiting,   ///< For memory.
        handled,
        sending,
        refused ///< Its client may still read the refusal.
    };

    struct connection
    {
        client_class of{};
        phase at = phase::opened;
        boot_time since{};       ///< Start of the request, else of the phase.
        boot_time waits_since{}; ///< Start of the wait for memory.
        std::size_t header_bytes = 0;
        std::size_t body_bytes = 0; ///< Received.
        std::size_t max_body_bytes = 0;
        std::size_t wanted_bytes = 0;  ///< Charge that it waits for.
        std::size_t charged_bytes = 0; ///< Of the request.
        std::size_t response_bytes = 0;
    };
    using entry = std::map<connection_id, connection>::iterator;
    /// Connections in the order of `since`.
    using by_age = std::set<std::pair<boot_time, connection_id>>;

    void enter(entry one, phase next, boot_time since);
    /// Charges up to \p wanted bytes in total, at once or after a wait.
    request_verdict charge(entry one, std::size_t wanted, boot_time now);
    /// Returns the charge for a body.
    std::size_t memory_for(std::size_t body_bytes) const
    {
        return (body_bytes - std::min(body_bytes, limits.small_body_bytes)) *
               limits.memory_per_body_byte;
    }
    bool has_room(std::size_t bytes) const;
    void release(connection& one);
    void resume_waiting();
    std::optional<connection_id> replaceable(client_class of, boot_time now) const;
    /// Returns the time for which a connection in a phase is not replaced.
    duration min_time(client_class of, phase at) const;
    /// Returns the slowest unfinished request that holds memory, except \p other.
    std::optional<connection_id> slowest_holder(connection_id other, boot_time now) const;

    by_age& ages(const connection& one)
    {
        return by_phase[index_of(one.of)][static_cast<std::size_t>(one.at)];
    }
    const by_age& ages(client_class of, phase at) const
    {
        return by_phase[index_of(of)][static_cast<std::size_t>(at)];
    }

    admission_limits limits;
    std::map<connection_id, connection> connections;
    static constexpr std::size_t phase_count = 8;
    std::array<std::array<by_age, phase_count>, client_class_count> by_phase;
    std::size_t counts[client_class_count] = {};
    std::size_t request_bytes = 0;
    std::size_t response_bytes = 0;
    /// Requests that wait for memory, those that want least first.
    std::set<std::pair<std::size_t, connection_id>> waiting;
    std::vector<connection_id> resumed;
};

void admission::implementation::enter(entry one, phase next, boot_time since)
{
    connection& state = one->second;
    ages(state).erase({state.since, one->first});
    if (state.at == phase::waiting)
        waiting.erase({state.wanted_bytes, one->first});
    state.at = next;
    state.since = since;
    ages(state).emplace(since, one->first);
    if (next == phase::waiting)
        waiting.emplace(state.wanted_bytes, one->first);
}

bool admission::implementation::has_room(std::size_t bytes) const
{
    // A request that wants more than all of the memory is served alone.
    return request_bytes == 0 || request_bytes + bytes <= limits.request_memory_bytes;
}

request_verdict admission::implementation::charge(entry one, std::size_t wanted,
                                                  boot_time now)
{
    connection& state = one->second;
    if (wanted <= state.charged_bytes)
        return proceed;
    const std::size_t more = wanted - state.charged_bytes;
    const bool alone = request_bytes == state.charged_bytes;
    if ((waiting.empty() && has_room(more)) || alone)
    {
        state.charged_bytes = wanted;
        request_bytes += more;
        return proceed;
    }
    state.wanted_bytes = more;
    state.waits_since = now;
    enter(one, phase::waiting, state.since);
    return wait;
}

void admission::implementation::release(connection& one)
{
    request_bytes -= one.charged_bytes;
    response_bytes -= one.response_bytes;
    one.charged_bytes = 0;
    one.response_bytes = 0;
    one.header_bytes = 0;
    one.body_bytes = 0;
    resume_waiting();
}

void admission::implementation::resume_waiting()
{
    while (!waiting.empty() && has_room(waiting.begin()->first))
    {
        const entry next = connections.find(waiting.begin()->second);
        const std::size_t bytes = next->second.wanted_bytes;
        enter(next, phase::receiving, next->second.since);
        next->second.charged_bytes += bytes;
        request_bytes += bytes;
        resumed.push_back(next->first);
    }
}

std::optional<connection_id> admission::implementation::replaceable(client_class of,
                                                                    boot_time now) const
{
    for (const phase at : {phase::refused, phase::idle})
        if (!ages(of, at).empty())
            return ages(of, at).begin()->second;
    std::optional<std::pair<boot_time, connection_id>> oldest;
    for (const phase at : {phase::opened, phase::receiving_header, phase::receiving,
                           phase::waiting, phase::sending})
    {
        const by_age& candidates = ages(of, at);
        if (!candidates.empty() && now - candidates.begin()->first >= min_time(of, at) &&
            (!oldest || *candidates.begin() < *oldest))
            oldest = *candidates.begin();
    }
    return oldest ? std::optional(oldest->second) : std::nullopt;
}

duration admission::implementation::min_time(client_class of, phase at) const
{
    if (at == phase::sending)
        return limits.min_receive_time;
    // A check is one small packet. Any longer time would let a crowd that reconnects keep
    // all of the few connections.
    if (of == client_class::monitors)
        return duration::zero();
    return at == phase::opened || at == phase::receiving_header ? limits.min_header_time
                                                                : limits.min_receive_time;
}

std::optional<connection_id>
admission::implementation::slowest_holder(connection_id other, boot_time now) const
{
    std::optional<std::pair<boot_time, connection_id>> oldest;
    for (const std::array<by_age, phase_count>& phases : by_phase)
        for (const phase at : {phase::receiving, phase::waiting})
            for (const std::pair<boot_time, connection_id>& one :
                 phases[static_cast<std::size_t>(at)])
            {
                if (now - one.first < limits.min_receive_time)
                    break;
                if (one.second == other ||
                    connections.at(one.second).charged_bytes == 0 ||
                    (oldest && *oldest < one))
                    continue;
                oldest = one;
                break;
            }
    return oldest ? std::optional(oldest->second) : std::nullopt;
}

admission::admission(const admission_limits& limits)
    : implementation_(std::make_unique<implementation>(limits))
{
}

admission::~admission() = default;

admission::open_verdict admission::open(connection_id id, client_class of, boot_time now)
{
    implementation& self = *implementation_;
    open_verdict verdict;
    if (self.counts[index_of(of)] >= self.limits.max_connections[index_of(of)])
    {
        verdict.replaced = self.replaceable(of, now);
        if (!verdict.replaced)
            return verdict;
        close(*verdict.replaced);
    }
    verdict.admitted = true;
    implementation::connection added;
    added.of = of;
    added.since = now;
    const bool inserted = self.connections.emplace(id, added).second;
    assert(inserted && "ids of connections are not used twice");
    static_cast<void>(inserted);
    self.ages(added).emplace(now, id);
    ++self.counts[index_of(of)];
    return verdict;
}

void admission::close(connection_id id)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return;
    implementation::connection& state = found->second;
    self.ages(state).erase({state.since, id});
    self.waiting.erase({state.wanted_bytes, id});
    --self.counts[index_of(state.of)];
    self.release(state);
    self.connections.erase(id);
}

request_verdict admission::received(connection_id id, std::size_t bytes, boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return proceed;
    implementation::connection& state = found->second;
    if (state.at == implementation::phase::opened ||
        state.at == implementation::phase::idle)
        self.enter(found, implementation::phase::receiving_header, now);
    if (state.at != implementation::phase::receiving_header)
        return proceed;
    state.header_bytes += bytes;
    return state.header_bytes > self.limits.max_header_bytes
               ? refuse(refusal::header_too_large)
               : proceed;
}

request_verdict admission::header_received(connection_id id,
                                           std::optional<std::uint64_t> announced_bytes,
                                           std::size_t max_body_bytes, boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return proceed;
    implementation::connection& state = found->second;
    // The header may have come with the request before it.
    self.enter(found, implementation::phase::receiving,
               state.at == implementation::phase::idle ? now : state.since);
    state.max_body_bytes = max_body_bytes;
    if (!announced_bytes)
        return proceed;
    if (*announced_bytes > max_body_bytes)
        return refuse(refusal::body_too_large);
    return self.charge(found, self.memory_for(static_cast<std::size_t>(*announced_bytes)),
                       now);
}

request_verdict admission::body_received(connection_id id, std::size_t bytes,
                                         boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return proceed;
    implementation::connection& state = found->second;
    state.body_bytes += bytes;
    if (state.body_bytes > state.max_body_bytes)
        return refuse(refusal::body_too_large);
    return self.charge(found, self.memory_for(state.body_bytes), now);
}

void admission::request_received(connection_id id)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found != self.connections.end())
        self.enter(found, implementation::phase::handled, found->second.since);
}

bool admission::awaits_response(connection_id id) const
{
    using phase = implementation::phase;
    const auto found = implementation_->connections.find(id);
    return found != implementation_->connections.end() &&
           (found->second.at == phase::handled || found->second.at == phase::sending);
}

bool admission::may_read_state() const
{
    return implementation_->response_bytes <=
           implementation_->limits.response_memory_bytes;
}

void admission::response_started(connection_id id, std::size_t bytes, boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return;
    const std::size_t charged = bytes - std::min(bytes, self.limits.small_body_bytes);
    found->second.response_bytes += charged;
    self.response_bytes += charged;
    self.enter(found, implementation::phase::sending, now);
}

void admission::response_finished(connection_id id, boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end() ||
        found->second.at == implementation::phase::refused)
        return;
    self.enter(found, implementation::phase::idle, now);
    self.release(found->second);
}

void admission::refused(connection_id id, boot_time now)
{
    implementation& self = *implementation_;
    const implementation::entry found = self.connections.find(id);
    if (found == self.connections.end())
        return;
    self.enter(found, implementation::phase::refused, now);
    self.release(found->second);
}

std::vector<connection_id> admission::take_resumed()
{
    return std::exchange(implementation_->resumed, {});
}

std::vector<admission::overdue> admission::check(boot_time now)
{
    using phase = implementation::phase;
    implementation& self = *implementation_;
    std::vector<overdue> found;
    const auto collect =
        [&found, now](const implementation::by_age& ages, duration limit, refusal why)
    {
        for (const auto& [since, id] : ages)
        {
            if (now - since <= limit)
                break;
            found.push_back({id, why});
        }
    };
    for (const client_class of : {client_class::callers, client_class::monitors})
    {
        for (const phase at : {phase::receiving_header, phase::receiving, phase::waiting})
            collect(self.ages(of, at), self.limits.receive_timeout,
                    refusal::request_too_slow);
        collect(self.ages(of, phase::sending), self.limits.send_timeout,
                refusal::response_not_read);
    }
    for (const overdue& one : found)
        refused(one.id, now);
    const std::set<std::pair<std::size_t, connection_id>> waiting = self.waiting;
    for (const auto& [bytes, id] : waiting)
    {
        while (true)
        {
            const implementation::connection& state = self.connections.at(id);
            if (state.at != phase::waiting ||
                now - state.waits_since < self.limits.memory_wait)
                break;
            const std::optional<connection_id> slowest = self.slowest_holder(id, now);
            found.push_back(slowest ? overdue{*slowest, refusal::request_too_slow}
                                    : overdue{id, refusal::memory_exhausted});
            refused(found.back().id, now);
        }
    }
    return found;
}

bool admission::needs_checks() const
{
    const implementation& self = *implementation_;
    for (const client_class of : {client_class::callers, client_class::monitors})
        for (const implementation::phase at :
             {implementation::phase::receiving_header, implementation::phase::receiving,
              implementation::phase::waiting, implementation::phase::sending})
            if (!self.ages(of, at).empty())
                return true;
    return false;
}

std::size_t admission::connections(client_class of) const
{
    return implementation_->counts[index_of(of)];
}

std::size_t admission::request_bytes() const
{
    return implementation_->request_bytes;
}

} // namespace hawthornbeam
