"""End-to-end tests with a standard client library: pymongo, a proxy and emulated servers."""

from __future__ import annotations

import asyncio
import threading

import bson
import pymongo
import pytest
from pymongo import ReadPreference
from pymongo.errors import BulkWriteError, DuplicateKeyError, OperationFailure


def connect(stage, **options):
    host, port = stage.addresses[next(iter(stage.addresses))]
    return pymongo.MongoClient(host, port, serverSelectionTimeoutMS=20000, **options)


@pytest.fixture
def mongo(calm):
    with connect(calm) as client:
        yield client


def test_reads_return_written_documents(mongo):
    rows = mongo.sky.crud
    assert rows.insert_one({"_id": 1, "v": 1}).acknowledged
    assert rows.insert_many([{"_id": n, "v": n} for n in range(2, 9)]).inserted_ids == list(range(2, 9))
    with pytest.raises(DuplicateKeyError):
        rows.insert_one({"_id": 1})
    assert rows.update_one({"_id": 1}, {"$inc": {"v": 9}}).modified_count == 1
    assert rows.replace_one({"_id": 9}, {"v": 0}, upsert=True).upserted_id == 9
    assert rows.delete_many({"v": {"$lt": 3}}).deleted_count == 2
    assert rows.find_one_and_update({"_id": 3}, {"$set": {"v": -3}})["v"] == 3
    with mongo.start_session() as session:
        rows.update_one({"_id": 4}, {"$set": {"w": 1}}, session=session)
        assert rows.find_one({"_id": 4}, session=session) == {"_id": 4, "v": 4, "w": 1}
        assert rows.count_documents({"w": 1}, session=session) == 1
        assert sorted(rows.distinct("v", {"_id": {"$in": [3, 4]}}, session=session)) == [-3, 4]
        totals = rows.aggregate([{"$group": {"_id": None, "n": {"$sum": 1}}}], session=session).to_list()
        assert totals[0]["n"] == 7


def test_bulk_write_reports_the_index_of_the_failed_document(mongo):
    rows = mongo.sky.bulk
    rows.insert_one({"_id": 2})
    with pytest.raises(BulkWriteError) as caught:
        rows.insert_many([{"_id": 1}, {"_id": 2}, {"_id": 3}])
    assert caught.value.details["writeErrors"][0]["index"] == 1
    assert caught.value.details["nInserted"] == 1


def test_cursor_over_several_batches_and_cursor_closed_early(mongo):
    rows = mongo.sky.cursors
    rows.insert_many([{"_id": n} for n in range(500)])
    with mongo.start_session() as session:
        rows.insert_one({"_id": -1}, session=session)
        assert len(rows.find({}, batch_size=60, session=session).to_list()) == 501
        cursor = rows.find({}, batch_size=10, session=session)
        next(cursor)
        cursor.close()
    with pytest.raises(OperationFailure) as caught:
        mongo.sky.command({"getMore": bson.Int64(12345), "collection": "cursors"})
    assert caught.value.code == 43


def test_out_stage_is_a_write(mongo):
    mongo.sky.source.insert_many([{"_id": n, "v": n % 2} for n in range(10)])
    with mongo.start_session() as session:
        mongo.sky.source.insert_one({"_id": 10, "v": 1}, session=session)
        mongo.sky.source.aggregate([{"$match": {"v": 1}}, {"$out": "odd"}], session=session)
        mongo.sky.odd.update_one({"_id": 1}, {"$set": {"seen": 1}}, session=session)
        assert mongo.sky.odd.count_documents({}, session=session) == 6


@pytest.mark.parametrize(
    "mode", ["PRIMARY", "PRIMARY_PREFERRED", "SECONDARY", "SECONDARY_PREFERRED", "NEAREST"]
)
def test_every_read_preference_is_served(mongo, mode):
    rows = mongo.sky.get_collection("preference", read_preference=getattr(ReadPreference, mode))
    mongo.sky.preference.replace_one({"_id": 1}, {"v": 1}, upsert=True)
    assert rows.count_documents({"_id": 99}) == 0


@pytest.mark.parametrize("compressor", ["zlib", "zstd", "snappy"])
def test_compressors(calm, compressor):
    with connect(calm, compressors=compressor) as client:
        rows = client.sky["packed_" + compressor]
        with client.start_session() as session:
            rows.insert_many([{"_id": n, "text": "smoke " * 100} for n in range(50)], session=session)
            assert len(rows.find({}, session=session).to_list()) == 50


def test_pool_of_100_connections(calm):
    errors = []
    with connect(calm, maxPoolSize=100) as client:
        client.sky.pool.insert_one({"_id": 0})
        barrier = threading.Barrier(100)

        def work(number: int) -> None:
            barrier.wait()
            try:
                client.sky.pool.insert_one({"_id": number})
            except Exception as error:
                errors.append(error)

        threads = [threading.Thread(target=work, args=(n,)) for n in range(1, 101)]
        [t.start() for t in threads]
        [t.join() for t in threads]
        assert not errors
        with client.start_session() as session:
            client.sky.pool.insert_one({"_id": 101}, session=session)
            assert client.sky.pool.count_documents({}, session=session) == 102


def test_async_client(calm):
    async def work() -> int:
        host, port = calm.addresses["calm-1"]
        async with pymongo.AsyncMongoClient(host, port) as client:
            await client.sky.later.insert_many([{"_id": n} for n in range(30)])
            async with client.start_session() as session:
                await client.sky.later.insert_one({"_id": 30}, session=session)
                return len(await client.sky.later.find({}, batch_size=7, session=session).to_list())

    assert asyncio.run(work()) == 31


def test_unknown_commands_and_transactions_are_errors(mongo):
    for name, code, code_name in (
        ("shutdown", 115, "CommandNotSupported"),
        ("noSuchThing", 59, "CommandNotFound"),
        ("Find", 59, "CommandNotFound"),
    ):
        with pytest.raises(OperationFailure) as caught:
            mongo.admin.command(name)
        assert caught.value.code == code
        assert caught.value.details["codeName"] == code_name
    with (
        mongo.start_session() as session,
        pytest.raises(OperationFailure) as caught,
        session.start_transaction(),
    ):
        mongo.sky.crud.insert_one({"v": 1}, session=session)
    assert caught.value.code == 263


def test_client_continues_after_the_proxy_is_killed_and_restarted(rough):
    rough.driver("again")
    with connect(rough) as client:
        client.sky.again.insert_one({"_id": 1})
        rough.drivers["again"].kill()
        rough.driver("again")
        client.sky.again.insert_one({"_id": 2})
        with client.start_session() as session:
            client.sky.again.insert_one({"_id": 3}, session=session)
            assert client.sky.again.count_documents({}, session=session) == 3
