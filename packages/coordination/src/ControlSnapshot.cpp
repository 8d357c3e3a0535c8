/** @file ControlSnapshot.cpp Field tables of the control state, and its serialization. */
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

/** Serialized form of a claim; the members name the attempt that holds it. */
struct StoredClaim : ClaimRow {
    std::string entryVm; ///< VM that runs the attempt.
    uint64_t incarnation = 0; ///< Incarnation of the VM.
    uint64_t sequence = 0; ///< Number of the attempt within the incarnation.
};

/** Serialized form of a target. */
struct StoredTarget {
    std::string service;
    std::string address; ///< host:port.
    std::string zone; ///< Availability zone.
    uint32_t slots = 0;
    uint64_t incarnation = 0;
    uint32_t state = 0; ///< wire::TargetState.
    LogIndex index = 0; ///< Entry that changed it last.
    uint64_t goneAtMs = 0; ///< Log time at which it was gone; 0: not gone.
    bool drained = false; ///< It announced its departure or was draining before it was gone.
    std::string instance; ///< Name of the instance; empty if it has none.
    std::string formerInstances; ///< Names of earlier instances at the address, one per line.
    uint64_t coldUntilMs = 0; ///< Log time until which it works slowly after its start; 0: not stated.
};

/** Serialized form of a released attempt. */
struct StoredRelease {
    std::string entryVm; ///< VM that ran the attempt.
    uint64_t incarnation = 0; ///< Incarnation of the VM.
    uint64_t sequence = 0; ///< Number of the attempt within the incarnation.
    uint64_t expiresAtMs = 0; ///< Log time at which the tombstone expires.
};

constexpr Field<ControlPosition> positionFields[] = {
    { "applied", FieldType::Uint64, &ControlPosition::appliedIndex, 1, latestVersion },
    { "configuration", FieldType::Uint64, &ControlPosition::configurationIndex, 1, latestVersion },
    { "forgotten", FieldType::Uint64, &ControlPosition::forgottenIndex, 1, latestVersion },
    { "logTimeMs", FieldType::Uint64, &ControlPosition::logTimeMs, 1, latestVersion },
};

constexpr Field<ManifestId> manifestIdFields[] = {
    { "number", FieldType::Uint64, &ManifestId::number, 1, latestVersion },
    { "digest", FieldType::String, &ManifestId::digest, 1, latestVersion },
};

constexpr Field<AcceptedManifestRow> acceptedFields[] = {
    { "number", FieldType::Uint64, &AcceptedManifestRow::number, 1, latestVersion },
    { "digest", FieldType::String, &AcceptedManifestRow::digest, 1, latestVersion },
    { "index", FieldType::Uint64, &AcceptedManifestRow::index, 1, latestVersion },
    { "acceptedAtMs", FieldType::Uint64, &AcceptedManifestRow::acceptedAtMs, 2, latestVersion },
};

constexpr Field<ServiceRow> serviceFields[] = {
    { "name", FieldType::String, &ServiceRow::name, 1, latestVersion },
    { "json", FieldType::String, &ServiceRow::json, 1, latestVersion },
    { "index", FieldType::Uint64, &ServiceRow::index, 1, latestVersion },
    { "removedAtMs", FieldType::Uint64, &ServiceRow::removedAtMs, 1, latestVersion },
};

constexpr Field<StoredTarget> targetFields[] = {
    { "service", FieldType::String, &StoredTarget::service, 1, latestVersion },
    { "address", FieldType::String, &StoredTarget::address, 1, latestVersion },
    { "zone", FieldType::String, &StoredTarget::zone, 1, latestVersion },
    { "slots", FieldType::Uint32, &StoredTarget::slots, 1, latestVersion },
    { "incarnation", FieldType::Uint64, &StoredTarget::incarnation, 1, latestVersion },
    { "state", FieldType::Uint32, &StoredTarget::state, 1, latestVersion },
    { "index", FieldType::Uint64, &StoredTarget::index, 1, latestVersion },
    { "goneAtMs", FieldType::Uint64, &StoredTarget::goneAtMs, 1, latestVersion },
    { "drained", FieldType::Bool, &StoredTarget::drained, 1, latestVersion },
    { "instance", FieldType::String, &StoredTarget::instance, 3, latestVersion },
    { "formerInstances", FieldType::String, &StoredTarget::formerInstances, 3, latestVersion },
    { "coldUntilMs", FieldType::Uint64, &StoredTarget::coldUntilMs, 3, latestVersion },
};

constexpr Field<StoredClaim> claimFields[] = {
    { "service", FieldType::String, &StoredClaim::service, 1, latestVersion },
    { "key", FieldType::String, &StoredClaim::key, 1, latestVersion },
    { "fingerprint", FieldType::String, &StoredClaim::fingerprint, 1, latestVersion },
    { "entryVm", FieldType::String, &StoredClaim::entryVm, 1, latestVersion },
    { "incarnation", FieldType::Uint64, &StoredClaim::incarnation, 1, latestVersion },
    { "sequence", FieldType::Uint64, &StoredClaim::sequence, 1, latestVersion },
    { "state", FieldType::Uint32, &StoredClaim::state, 1, latestVersion },
    { "retentionMs", FieldType::Uint64, &StoredClaim::retentionMs, 1, latestVersion },
    { "expiresAtMs", FieldType::Uint64, &StoredClaim::expiresAtMs, 1, latestVersion },
    { "index", FieldType::Uint64, &StoredClaim::index, 1, latestVersion },
    { "answerStatus", FieldType::Uint32, &StoredClaim::answerStatus, 1, latestVersion },
    { "answerType", FieldType::String, &StoredClaim::answerType, 1, latestVersion },
    { "answerBody", FieldType::String, &StoredClaim::answerBody, 1, latestVersion },
    { "answerComplete", FieldType::Bool, &StoredClaim::answerComplete, 1, latestVersion },
};

constexpr Field<StoredRelease> releaseFields[] = {
    { "entryVm", FieldType::String, &StoredRelease::entryVm, 1, latestVersion },
    { "incarnation", FieldType::Uint64, &StoredRelease::incarnation, 1, latestVersion },
    { "sequence", FieldType::Uint64, &StoredRelease::sequence, 1, latestVersion },
    { "expiresAtMs", FieldType::Uint64, &StoredRelease::expiresAtMs, 1, latestVersion },
};

constexpr Field<EntryVmRow> entryVmFields[] = {
    { "name", FieldType::String, &EntryVmRow::name, 1, latestVersion },
    { "incarnation", FieldType::Uint64, &EntryVmRow::incarnation, 1, latestVersion },
    { "seenAtMs", FieldType::Uint64, &EntryVmRow::seenAtMs, 1, latestVersion },
};

constexpr Field<SuspicionRow> suspicionFields[] = {
    { "service", FieldType::String, &SuspicionRow::service, 1, latestVersion },
    { "fingerprint", FieldType::String, &SuspicionRow::fingerprint, 1, latestVersion },
    { "expiresAtMs", FieldType::Uint64, &SuspicionRow::expiresAtMs, 1, latestVersion },
    { "index", FieldType::Uint64, &SuspicionRow::index, 1, latestVersion },
    { "cleared", FieldType::Bool, &SuspicionRow::isCleared, 1, latestVersion },
};

constexpr Field<SuspectTargetRow> suspectTargetFields[] = {
    { "service", FieldType::String, &SuspectTargetRow::service, 1, latestVersion },
    { "fingerprint", FieldType::String, &SuspectTargetRow::fingerprint, 1, latestVersion },
    { "address", FieldType::String, &SuspectTargetRow::address, 1, latestVersion },
    { "incarnation", FieldType::Uint64, &SuspectTargetRow::incarnation, 1, latestVersion },
};

constexpr uint32_t firstVersionWithZones = 4;

constexpr Field<ZoneRow> zoneFields[] = {
    { "zone", FieldType::String, &ZoneRow::zone, firstVersionWithZones, latestVersion },
    { "isOutOfUse", FieldType::Bool, &ZoneRow::isOutOfUse, firstVersionWithZones, latestVersion },
    { "changedAtMs", FieldType::Uint64, &ZoneRow::changedAtMs, firstVersionWithZones, latestVersion },
    { "index", FieldType::Uint64, &ZoneRow::index, firstVersionWithZones, latestVersion },
};

static_assert(isConsistent(positionFields) && isConsistent(manifestIdFields) && isConsistent(acceptedFields));
static_assert(isConsistent(serviceFields) && isConsistent(targetFields) && isConsistent(claimFields));
static_assert(isConsistent(releaseFields) && isConsistent(entryVmFields) && isConsistent(suspicionFields) && isConsistent(suspectTargetFields));
static_assert(isConsistent(zoneFields));

/** Converts a target to its serialized form. */
StoredTarget toStored(const TargetRow& row)
{
    const wire::TargetRecord& record = row.record;
    return { record.service(), record.address(), record.availability_zone(), record.slots(), record.incarnation(),
        static_cast<uint32_t>(record.state()), row.index, row.goneAtMs, row.drained, record.instance(), row.formerInstances, record.cold_until_log_ms() };
}

/** Converts a claim to its serialized form. */
StoredClaim toStored(const ClaimRow& row)
{
    return { row, row.attempt.entryVm, row.attempt.incarnation, row.attempt.sequence };
}

/** Converts a released attempt to its serialized form. */
StoredRelease toStored(const ReleasedAttemptRow& row)
{
    return { row.attempt.entryVm, row.attempt.incarnation, row.attempt.sequence, row.expiresAtMs };
}

/** Returns a row whose serialized form is the row itself. */
template <typename Row>
const Row& toStored(const Row& row)
{
    return row;
}

/** Restores a target from its serialized form. An unknown state is refused by the target table. */
TargetRow fromStored(StoredTarget stored)
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

/** Restores a claim from its serialized form. */
ClaimRow fromStored(StoredClaim stored)
{
    stored.attempt = { stored.entryVm, stored.incarnation, stored.sequence };
    return stored;
}

/** Restores a released attempt from its serialized form. */
ReleasedAttemptRow fromStored(const StoredRelease& stored)
{
    return { { stored.entryVm, stored.incarnation, stored.sequence }, stored.expiresAtMs };
}

/** Writes the number of rows of a table, followed by the rows. */
template <typename Map, typename Row, size_t size>
void writeRows(CodedOutputStream& out, const Field<Row> (&fields)[size], uint32_t version, const Map& rows)
{
    out.WriteVarint64(rows.size());
    for (const auto& [key, row] : rows)
        writeRow(out, fields, version, toStored(row));
}

/** Writes the targets of all suspicions as one table. */
void writeSuspectTargets(CodedOutputStream& out, uint32_t version, const std::map<NamePair, SuspicionRow>& suspicions)
{
    std::map<size_t, SuspectTargetRow> rows;
    for (const auto& [key, suspicion] : suspicions) {
        for (const auto& [address, incarnation] : suspicion.targets)
            rows[rows.size()] = { suspicion.service, suspicion.fingerprint, address, incarnation };
    }
    writeRows(out, suspectTargetFields, version, rows);
}

/** Reads all tables. Returns false if the input is invalid. */
bool readTables(CodedInputStream& in, uint32_t version, ControlTables& tables)
{
    ManifestId current;
    if (!readRow(in, positionFields, version, tables.position) || !readRow(in, manifestIdFields, version, current))
        return false;
    if (tables.position.logTimeMs > maxLogTimeMs)
        return false;
    tables.manifest.restoreCurrent(std::move(current));
    return readRows(in, acceptedFields, version, [&](AcceptedManifestRow row) { return tables.manifest.restore(std::move(row)); })
        && readRows(in, serviceFields, version, [&](ServiceRow row) { return tables.manifest.restore(std::move(row)); })
        && readRows(in, targetFields, version, [&](StoredTarget row) { return tables.targets.restore(fromStored(std::move(row))); })
        && readRows(in, claimFields, version, [&](StoredClaim row) { return tables.claims.restore(fromStored(std::move(row))); })
        && readRows(in, releaseFields, version, [&](const StoredRelease& row) { return tables.claims.restore(fromStored(row)); })
        && readRows(in, entryVmFields, version, [&](EntryVmRow row) { return tables.claims.restore(std::move(row)); })
        && readRows(in, suspicionFields, version, [&](SuspicionRow row) { return tables.suspicions.restore(std::move(row)); })
        && readRows(in, suspectTargetFields, version, [&](const SuspectTargetRow& row) { return tables.suspicions.restore(row); })
        && (version < firstVersionWithZones || readRows(in, zoneFields, version, [&](ZoneRow row) { return tables.zones.restore(std::move(row)); }));
}

/** Returns the checksum of a body as bytes in big-endian order. */
std::string checksumOf(std::string_view body)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH3_64bits(body.data(), body.size()));
    return { reinterpret_cast<const char*>(canonical.digest), checksumBytes };
}

} // namespace

std::string appendChecksum(const std::string& body)
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
        writeRow(out, manifestIdFields, version, tables.manifest.current());
        writeRows(out, acceptedFields, version, tables.manifest.acceptedManifests());
        writeRows(out, serviceFields, version, tables.manifest.services());
        writeRows(out, targetFields, version, tables.targets.targets());
        writeRows(out, claimFields, version, tables.claims.claims());
        writeRows(out, releaseFields, version, tables.claims.releasedAttempts());
        writeRows(out, entryVmFields, version, tables.claims.entryVms());
        writeRows(out, suspicionFields, version, tables.suspicions.suspicions());
        writeSuspectTargets(out, version, tables.suspicions.suspicions());
        if (version >= firstVersionWithZones)
            writeRows(out, zoneFields, version, tables.zones.zones());
    }
    return appendChecksum(body);
}

ResultCode loadTables(std::string_view data, ControlTables& tables)
{
    bool hasValidSize = data.size() >= snapshotMagic.size() + checksumBytes && data.size() <= INT32_MAX;
    if (!hasValidSize || !data.starts_with(snapshotMagic))
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
    bool isComplete = readTables(in, version, tables) && in.BytesUntilLimit() == 0;
    return isComplete ? ResultCode::Ok : ResultCode::JournalDamaged;
}

} // namespace kingcup
