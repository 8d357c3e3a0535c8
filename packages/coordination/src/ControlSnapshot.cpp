/** @file ControlSnapshot.cpp Tables of fields of the control state, and its storing and loading. */
#include "ControlSnapshot.h"

#include "FieldTable.h"

#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

namespace kingcup {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

namespace {

constexpr std::string_view snapshotMagic = "KCSM";
constexpr size_t checksumBytes = 8;

/** A claim as it is stored. */
struct StoredClaim : ClaimRow {
    std::string entryVm; ///< Owner.
    uint64_t incarnation = 0; ///< Owner.
    uint64_t sequence = 0; ///< Owner.
};

/** A target as it is stored. */
struct StoredTarget {
    std::string service; ///< Service.
    std::string address; ///< host:port.
    std::string zone; ///< Availability zone.
    uint32_t slots = 0; ///< Slots.
    uint64_t incarnation = 0; ///< Incarnation.
    uint32_t state = 0; ///< wire::TargetState.
    LogIndex index = 0; ///< Last change.
    uint64_t goneAtMs = 0; ///< Log time.
    bool drained = false; ///< Whether it was draining before it went.
    std::string instance; ///< Name of the incarnation.
    std::string formerInstances; ///< Names of earlier incarnations, one a line.
    uint64_t coldUntilMs = 0; ///< Log time.
};

/** A released attempt as it is stored. */
struct StoredRelease {
    std::string entryVm; ///< VM.
    uint64_t incarnation = 0; ///< Its incarnation.
    uint64_t sequence = 0; ///< Attempt.
    uint64_t expiresAtMs = 0; ///< Log time.
};

constexpr Field<ControlPosition> positionFields[] = {
    { "applied", FieldType::Number, &ControlPosition::applied, 1, latestVersion },
    { "configuration", FieldType::Number, &ControlPosition::configuration, 1, latestVersion },
    { "forgotten", FieldType::Number, &ControlPosition::forgotten, 1, latestVersion },
    { "logTimeMs", FieldType::Number, &ControlPosition::logTimeMs, 1, latestVersion },
};

constexpr Field<ManifestHead> headFields[] = {
    { "number", FieldType::Number, &ManifestHead::number, 1, latestVersion },
    { "digest", FieldType::Text, &ManifestHead::digest, 1, latestVersion },
};

constexpr Field<AcceptedRow> acceptedFields[] = {
    { "number", FieldType::Number, &AcceptedRow::number, 1, latestVersion },
    { "digest", FieldType::Text, &AcceptedRow::digest, 1, latestVersion },
    { "index", FieldType::Number, &AcceptedRow::index, 1, latestVersion },
    { "acceptedAtMs", FieldType::Number, &AcceptedRow::acceptedAtMs, 2, latestVersion },
};

constexpr Field<ServiceRow> serviceFields[] = {
    { "name", FieldType::Text, &ServiceRow::name, 1, latestVersion },
    { "json", FieldType::Text, &ServiceRow::json, 1, latestVersion },
    { "index", FieldType::Number, &ServiceRow::index, 1, latestVersion },
    { "removedAtMs", FieldType::Number, &ServiceRow::removedAtMs, 1, latestVersion },
};

constexpr Field<StoredTarget> targetFields[] = {
    { "service", FieldType::Text, &StoredTarget::service, 1, latestVersion },
    { "address", FieldType::Text, &StoredTarget::address, 1, latestVersion },
    { "zone", FieldType::Text, &StoredTarget::zone, 1, latestVersion },
    { "slots", FieldType::ShortNumber, &StoredTarget::slots, 1, latestVersion },
    { "incarnation", FieldType::Number, &StoredTarget::incarnation, 1, latestVersion },
    { "state", FieldType::ShortNumber, &StoredTarget::state, 1, latestVersion },
    { "index", FieldType::Number, &StoredTarget::index, 1, latestVersion },
    { "goneAtMs", FieldType::Number, &StoredTarget::goneAtMs, 1, latestVersion },
    { "drained", FieldType::Flag, &StoredTarget::drained, 1, latestVersion },
    { "instance", FieldType::Text, &StoredTarget::instance, 3, latestVersion },
    { "formerInstances", FieldType::Text, &StoredTarget::formerInstances, 3, latestVersion },
    { "coldUntilMs", FieldType::Number, &StoredTarget::coldUntilMs, 3, latestVersion },
};

constexpr Field<StoredClaim> claimFields[] = {
    { "service", FieldType::Text, &StoredClaim::service, 1, latestVersion },
    { "key", FieldType::Text, &StoredClaim::key, 1, latestVersion },
    { "fingerprint", FieldType::Text, &StoredClaim::fingerprint, 1, latestVersion },
    { "entryVm", FieldType::Text, &StoredClaim::entryVm, 1, latestVersion },
    { "incarnation", FieldType::Number, &StoredClaim::incarnation, 1, latestVersion },
    { "sequence", FieldType::Number, &StoredClaim::sequence, 1, latestVersion },
    { "state", FieldType::ShortNumber, &StoredClaim::state, 1, latestVersion },
    { "retentionMs", FieldType::Number, &StoredClaim::retentionMs, 1, latestVersion },
    { "expiresAtMs", FieldType::Number, &StoredClaim::expiresAtMs, 1, latestVersion },
    { "index", FieldType::Number, &StoredClaim::index, 1, latestVersion },
    { "answerStatus", FieldType::ShortNumber, &StoredClaim::answerStatus, 1, latestVersion },
    { "answerType", FieldType::Text, &StoredClaim::answerType, 1, latestVersion },
    { "answerBody", FieldType::Text, &StoredClaim::answerBody, 1, latestVersion },
    { "answerComplete", FieldType::Flag, &StoredClaim::answerComplete, 1, latestVersion },
};

constexpr Field<StoredRelease> releaseFields[] = {
    { "entryVm", FieldType::Text, &StoredRelease::entryVm, 1, latestVersion },
    { "incarnation", FieldType::Number, &StoredRelease::incarnation, 1, latestVersion },
    { "sequence", FieldType::Number, &StoredRelease::sequence, 1, latestVersion },
    { "expiresAtMs", FieldType::Number, &StoredRelease::expiresAtMs, 1, latestVersion },
};

constexpr Field<EntryVmRow> entryVmFields[] = {
    { "name", FieldType::Text, &EntryVmRow::name, 1, latestVersion },
    { "incarnation", FieldType::Number, &EntryVmRow::incarnation, 1, latestVersion },
    { "seenAtMs", FieldType::Number, &EntryVmRow::seenAtMs, 1, latestVersion },
};

constexpr Field<SuspicionRow> suspicionFields[] = {
    { "service", FieldType::Text, &SuspicionRow::service, 1, latestVersion },
    { "fingerprint", FieldType::Text, &SuspicionRow::fingerprint, 1, latestVersion },
    { "expiresAtMs", FieldType::Number, &SuspicionRow::expiresAtMs, 1, latestVersion },
    { "index", FieldType::Number, &SuspicionRow::index, 1, latestVersion },
    { "cleared", FieldType::Flag, &SuspicionRow::isCleared, 1, latestVersion },
};

constexpr Field<SuspectTargetRow> suspectTargetFields[] = {
    { "service", FieldType::Text, &SuspectTargetRow::service, 1, latestVersion },
    { "fingerprint", FieldType::Text, &SuspectTargetRow::fingerprint, 1, latestVersion },
    { "address", FieldType::Text, &SuspectTargetRow::address, 1, latestVersion },
    { "incarnation", FieldType::Number, &SuspectTargetRow::incarnation, 1, latestVersion },
};

static_assert(isConsistent(positionFields) && isConsistent(headFields) && isConsistent(acceptedFields));
static_assert(isConsistent(serviceFields) && isConsistent(targetFields) && isConsistent(claimFields));
static_assert(isConsistent(releaseFields) && isConsistent(entryVmFields) && isConsistent(suspicionFields) && isConsistent(suspectTargetFields));

/** Converts a target for storing. */
StoredTarget store(const TargetRow& row)
{
    const wire::TargetRecord& record = row.record;
    return { record.service(), record.address(), record.availability_zone(), record.slots(), record.incarnation(),
        static_cast<uint32_t>(record.state()), row.index, row.goneAtMs, row.drained, record.instance(), row.formerInstances, record.cold_until_log_ms() };
}

/** Converts a claim for storing. */
StoredClaim store(const ClaimRow& row)
{
    return { row, row.attempt.entryVm, row.attempt.incarnation, row.attempt.sequence };
}

/** Converts a released attempt for storing. */
StoredRelease store(const ReleasedRow& row)
{
    return { row.attempt.entryVm, row.attempt.incarnation, row.attempt.sequence, row.expiresAtMs };
}

/** Rows that are stored as they are. */
template <typename Row>
const Row& store(const Row& row)
{
    return row;
}

/** Converts a stored target. An unknown state is left to the table to refuse. */
TargetRow unstore(StoredTarget stored)
{
    TargetRow row;
    row.record.set_service(stored.service);
    row.record.set_address(stored.address);
    row.record.set_availability_zone(stored.zone);
    row.record.set_slots(stored.slots);
    row.record.set_incarnation(stored.incarnation);
    row.record.set_state(static_cast<wire::TargetState>(stored.state));
    row.index = stored.index;
    row.goneAtMs = stored.goneAtMs;
    row.drained = stored.drained;
    row.record.set_instance(stored.instance);
    row.formerInstances = stored.formerInstances;
    row.record.set_cold_until_log_ms(stored.coldUntilMs);
    return row;
}

/** Converts a stored claim. */
ClaimRow unstore(StoredClaim stored)
{
    stored.attempt = { stored.entryVm, stored.incarnation, stored.sequence };
    return stored;
}

/** Converts a stored released attempt. */
ReleasedRow unstore(const StoredRelease& stored)
{
    return { { stored.entryVm, stored.incarnation, stored.sequence }, stored.expiresAtMs };
}

/** Writes a count and all rows of a table. */
template <typename Map, typename Row, size_t size>
void writeRows(CodedOutputStream& out, const Field<Row> (&fields)[size], uint32_t version, const Map& rows)
{
    out.WriteVarint64(rows.size());
    for (const auto& [key, row] : rows)
        writeRow(out, fields, version, store(row));
}

/** Writes the targets of all suspicions. */
void writeSuspectTargets(CodedOutputStream& out, uint32_t version, const std::map<NamePair, SuspicionRow>& suspicions)
{
    std::map<size_t, SuspectTargetRow> rows;
    for (const auto& [key, suspicion] : suspicions) {
        for (const auto& [address, incarnation] : suspicion.targets)
            rows[rows.size()] = { suspicion.service, suspicion.fingerprint, address, incarnation };
    }
    writeRows(out, suspectTargetFields, version, rows);
}

/** Reads all tables. Returns false on damage. */
bool readTables(CodedInputStream& in, uint32_t version, ControlTables& tables)
{
    ManifestHead head;
    if (!readRow(in, positionFields, version, tables.position) || !readRow(in, headFields, version, head))
        return false;
    if (tables.position.logTimeMs > maxLogTimeMs)
        return false;
    tables.manifest.restoreHead(std::move(head));
    return readRows(in, acceptedFields, version, [&](AcceptedRow row) { return tables.manifest.restore(std::move(row)); })
        && readRows(in, serviceFields, version, [&](ServiceRow row) { return tables.manifest.restore(std::move(row)); })
        && readRows(in, targetFields, version, [&](StoredTarget row) { return tables.targets.restore(unstore(std::move(row))); })
        && readRows(in, claimFields, version, [&](StoredClaim row) { return tables.claims.restore(unstore(std::move(row))); })
        && readRows(in, releaseFields, version, [&](const StoredRelease& row) { return tables.claims.restore(unstore(row)); })
        && readRows(in, entryVmFields, version, [&](EntryVmRow row) { return tables.claims.restore(std::move(row)); })
        && readRows(in, suspicionFields, version, [&](SuspicionRow row) { return tables.suspicions.restore(std::move(row)); })
        && readRows(in, suspectTargetFields, version, [&](const SuspectTargetRow& row) { return tables.suspicions.restore(row); });
}

/** Returns the checksum of a body in a fixed byte order. */
std::string checksumOf(std::string_view body)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH3_64bits(body.data(), body.size()));
    return { reinterpret_cast<const char*>(canonical.digest), checksumBytes };
}

} // namespace

std::string sealSnapshot(const std::string& body)
{
    return body + checksumOf(body);
}

std::string saveTables(const ControlTables& tables, uint32_t version)
{
    std::string body(snapshotMagic);
    {
        google::protobuf::io::StringOutputStream stream(&body);
        CodedOutputStream out(&stream);
        out.WriteVarint32(version);
        writeRow(out, positionFields, version, tables.position);
        writeRow(out, headFields, version, tables.manifest.head());
        writeRows(out, acceptedFields, version, tables.manifest.accepted());
        writeRows(out, serviceFields, version, tables.manifest.services());
        writeRows(out, targetFields, version, tables.targets.targets());
        writeRows(out, claimFields, version, tables.claims.claims());
        writeRows(out, releaseFields, version, tables.claims.released());
        writeRows(out, entryVmFields, version, tables.claims.entryVms());
        writeRows(out, suspicionFields, version, tables.suspicions.suspicions());
        writeSuspectTargets(out, version, tables.suspicions.suspicions());
    }
    return sealSnapshot(body);
}

ResultCode loadTables(std::string_view data, ControlTables& tables)
{
    bool bounded = data.size() >= snapshotMagic.size() + checksumBytes && data.size() <= INT32_MAX;
    if (!bounded || !data.starts_with(snapshotMagic))
        return ResultCode::JournalDamaged;
    std::string_view body = data.substr(0, data.size() - checksumBytes);
    if (checksumOf(body) != data.substr(body.size()))
        return ResultCode::JournalDamaged;
    body.remove_prefix(snapshotMagic.size());
    CodedInputStream in(reinterpret_cast<const uint8_t*>(body.data()), static_cast<int>(body.size()));
    in.PushLimit(static_cast<int>(body.size()));
    uint32_t version = 0;
    if (!in.ReadVarint32(&version) || version == 0)
        return ResultCode::JournalDamaged;
    if (version > snapshotVersion)
        return ResultCode::SnapshotVersion;
    bool complete = readTables(in, version, tables) && in.BytesUntilLimit() == 0;
    return complete ? ResultCode::Ok : ResultCode::JournalDamaged;
}

} // namespace kingcup
