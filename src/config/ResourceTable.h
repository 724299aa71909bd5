#pragma once

#include "config/Specs.h"

#include <array>
#include <map>

namespace sagechute::config {

/// The declared resources at one offset, and the rules by which a change of them is judged.
class ResourceTable {
public:
    /// What a change that is in order would do.
    struct Effect {
        std::optional<Spec> spec; ///< Absent: the resource goes.
        nlohmann::json before; ///< Canonical specs, null for none.
        nlohmann::json after;
    };

    /// Judges a change against the present state alone.
    /// @return its effect; BadRequest when its spec is wrong at any time; Conflict when it does not fit now.
    absl::StatusOr<Effect> judge(const Change&) const;

    /// Puts an effect into force. @param version offset of the change.
    void enforce(const Change&, const Effect&, LogOffset version);

    /// Adds a resource of a snapshot.
    /// @return BadRequest when it is there already or its spec is not right.
    absl::Status restore(const Resource&);

    std::vector<Resource> list(Kind) const;
    std::optional<Resource> find(Kind, std::string_view name) const;

    /// @return a view of the present state, to be published.
    std::shared_ptr<const ConfigView> publish(LogOffset offset);

private:
    struct Stored {
        LogOffset version = 0;
        nlohmann::json spec;
    };
    using ByName = std::map<std::string, Stored, std::less<>>;

    const ByName& of(Kind kind) const { return m_byKind[static_cast<std::size_t>(kind)]; }
    ByName& of(Kind kind) { return m_byKind[static_cast<std::size_t>(kind)]; }
    const Stored* stored(Kind, std::string_view name) const;
    absl::Status checkVersion(const Change&, const Stored*) const;
    absl::StatusOr<Effect> judgePut(const Change&, const Stored*) const;
    absl::StatusOr<Spec> withKeptKey(const Change&, Spec) const;

    static constexpr std::size_t kinds = 5;
    std::array<ByName, kinds> m_byKind;
    ConfigView m_working; ///< The typed form of m_byKind, changed in place; published as copies.
    bool m_keysChanged = true;
};

} // namespace sagechute::config
