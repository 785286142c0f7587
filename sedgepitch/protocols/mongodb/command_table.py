"""The supported commands, and those that a mongos supports but this proxy does not.

Source: MongoDB's command reference.
"""

from __future__ import annotations

from enum import Enum


class CommandKind(Enum):
    """How a command is handled."""

    READ = "read"
    WRITE = "write"
    GET_MORE = "getMore"
    KILL_CURSORS = "killCursors"
    LOCAL = "local"  # answered by the proxy itself


COMMANDS = {
    "find": CommandKind.READ,
    "aggregate": CommandKind.READ,  # a write with $out or $merge
    "count": CommandKind.READ,
    "distinct": CommandKind.READ,
    "listCollections": CommandKind.READ,
    "listDatabases": CommandKind.READ,
    "insert": CommandKind.WRITE,
    "update": CommandKind.WRITE,
    "delete": CommandKind.WRITE,
    "findAndModify": CommandKind.WRITE,
    "findandmodify": CommandKind.WRITE,
    "getMore": CommandKind.GET_MORE,
    "killCursors": CommandKind.KILL_CURSORS,
    "hello": CommandKind.LOCAL,
    "isMaster": CommandKind.LOCAL,
    "ismaster": CommandKind.LOCAL,
    "ping": CommandKind.LOCAL,
    "buildInfo": CommandKind.LOCAL,
    "buildinfo": CommandKind.LOCAL,
    "endSessions": CommandKind.LOCAL,
}
# Commands of a mongos that this proxy does not support (MongoDB manual, "Database Commands"), without
# commands that only storage nodes or tests use. Any other name is an unknown command.
UNSUPPORTED = frozenset(
    """
    abortReshardCollection abortTransaction addShard addShardToZone analyze analyzeShardKey appendOplogNote
    authenticate autoSplitVector balancerCollectionStatus balancerStart balancerStatus balancerStop bulkWrite
    checkMetadataConsistency cleanupOrphaned cleanupReshardCollection cleanupStructuredEncryptionData
    clearJumboFlag clusterAbortTransaction clusterAggregate clusterCommitTransaction clusterCount
    clusterDelete clusterFind clusterGetMore clusterInsert clusterUpdate collMod collStats
    commitReshardCollection commitTransaction compact compactStructuredEncryptionData configureFailPoint
    configureQueryAnalyzer connPoolStats connPoolSync connectionStatus convertToCapped
    coordinateCommitTransaction create createIndexes createRole createSearchIndexes createUser currentOp
    dataSize dbHash dbStats
    driverOIDTest drop dropAllRolesFromDatabase dropAllUsersFromDatabase dropConnections dropDatabase
    dropIndexes dropRole dropSearchIndex dropUser enableSharding eval explain features filemd5
    flushRouterConfig fsync fsyncUnlock getAuditConfig getClusterParameter getCmdLineOpts getDatabaseVersion
    getDefaultRWConcern getDiagnosticData getLog getParameter getShardMap getShardVersion getnonce
    grantPrivilegesToRole grantRolesToRole grantRolesToUser hostInfo internalRenameIfOptionsAndIndexesMatch
    invalidateUserCache isdbgrid killAllSessions killAllSessionsByPattern killOp killSessions listCommands
    listIndexes listSearchIndexes listShards lockInfo logApplicationMessage logRotate logout mapReduce
    mergeAllChunksOnShard mergeChunks moveChunk moveCollection movePrimary multicast netstat planCacheClear
    planCacheClearFilters planCacheListFilters planCacheSetFilter prepareTransaction profile
    refineCollectionShardKey refreshLogicalSessionCacheNow refreshSessions reIndex releaseMemory removeShard
    removeShardFromZone renameCollection repairShardedCollectionChunksHistory replSetGetStatus
    reshardCollection resetError revokePrivilegesFromRole revokeRolesFromRole revokeRolesFromUser rolesInfo
    saslContinue saslStart serverStatus setAllowMigrations setAuditConfig setClusterParameter
    setDefaultRWConcern setFeatureCompatibilityVersion setFreeMonitoring setIndexCommitQuorum setParameter
    setProfilingFilterGlobally setQuerySettings shardCollection shardConnPoolStats shutdown split
    splitVector startSession top transitionFromDedicatedConfigServer transitionToDedicatedConfigServer
    unshardCollection untrackUnshardedCollection updateRole updateSearchIndex updateUser updateZoneKeyRange
    usersInfo validate validateDBMetadata waitForFailPoint whatsmyuri
    """.split()
)
