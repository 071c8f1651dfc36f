/* Deltas between lists of servers: applied to an earlier list of the source, a delta gives the newest list or is
   refused. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "test.h"

#define ROUNDS 200

static cw_server_t make_server(uint32_t number) {
    cw_server_t s = {.address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4};
    snprintf(s.id, sizeof(s.id), "s%03u", number);
    return s;
}

static cw_servers_t make_list(uint32_t count) {
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = make_server(i);
        cw_servers_put(&list, &s);
    }
    return list;
}

/* Adds, removes or changes one server, which may be leaving or cold, and opens or closes a hall. */
static void change_one_server(cw_servers_t* list, uint64_t random) {
    cw_server_t s = make_server((uint32_t)(random % 60));
    s.leaving = random / 60 % 3 == 1;
    s.cold_ms = random / 180 % 2 ? 500 : 0;
    list->closed = (cw_closed_halls_t){.at = list->closed.at + 1};
    if (random / 360 % 2) {
        cw_closed_halls_add(&list->closed, "a");
    }
    if (random / 60 % 3 == 2) {
        cw_servers_remove(list, s.id);
    } else {
        cw_servers_put(list, &s);
    }
}

/* Gets a delta from a daemon's list and sends it through its JSON form; returns false when there is none. */
static bool get_delta(const cw_changes_t* changes, const cw_servers_t* list, int64_t peer_revision, cw_delta_t* out) {
    cw_delta_t delta = {0};
    bool is_known = cw_changes_get_delta(changes, list, peer_revision, &delta);
    if (is_known) {
        char* text = cw_delta_to_json(&delta);
        ck_assert(cw_delta_is_json(text, strlen(text)));
        ck_assert_int_eq(cw_delta_from_json(out, text, strlen(text), NULL), CW_OK);
        free(text);
    }
    cw_delta_free(&delta);
    return is_known;
}

/* Replaces a host's own list by a newer one that it polled or received. */
static void apply_list(cw_changes_t* changes, cw_servers_t* own, const cw_servers_t* list) {
    cw_servers_t next;
    cw_servers_copy(&next, list);
    cw_changes_record(changes, own, &next);
    cw_servers_free(own);
    *own = next;
}

START_TEST(a_delta_turns_any_earlier_list_into_the_newest) {
    static cw_servers_t lists[ROUNDS + 1];
    cw_changes_t changes = {0};
    lists[0] = make_list(50);
    lists[0].at = 1;
    cw_changes_record(&changes, &(cw_servers_t){0}, &lists[0]);
    for (uint32_t round = 1; round <= ROUNDS; round++) {
        cw_servers_copy(&lists[round], &lists[round - 1]);
        for (uint32_t i = 0; i < 1 + round % 4; i++) {
            change_one_server(&lists[round], cw_mix(round, i));
        }
        lists[round].at = lists[round - 1].at + 1 + round % 3;
        cw_changes_record(&changes, &lists[round - 1], &lists[round]);
        for (uint32_t earlier = round > 8 ? round - 8 : 0; earlier < round; earlier++) {
            cw_servers_t list = {0};
            cw_delta_t delta = {0};
            cw_servers_copy(&list, &lists[earlier]);
            if (get_delta(&changes, &lists[round], lists[earlier].at, &delta)) {
                ck_assert(cw_delta_apply(&list, &delta));
                ck_assert(cw_servers_equal(&list, &lists[round]));
            } else {
                ck_assert_uint_gt(round - earlier, 3); /* more than a quarter of the list changed */
            }
            cw_delta_free(&delta);
            cw_servers_free(&list);
        }
    }
    for (uint32_t i = 0; i <= ROUNDS; i++) {
        cw_servers_free(&lists[i]);
    }
    cw_changes_free(&changes);
}
END_TEST

/* Two hosts poll the source at different times, and a third gets deltas from either in turn. When a delta could start
   only from an earlier list of its sender, two pollers had no list in common: in a simulated day of 45 s, every
   host of a fleet with two pollers fetched full lists, 1.1 MB for 6,003 servers, several times. The case needs several
   pollers while a quarter of the servers is replaced. */
START_TEST(deltas_are_small_between_hosts_without_a_common_list) {
    cw_changes_t changes[3];
    memset(changes, 0, sizeof(changes));
    cw_servers_t own[3];
    memset(own, 0, sizeof(own));
    cw_servers_t source = make_list(400);
    uint32_t delta_entries = 0;
    source.at = 10;
    for (uint32_t k = 0; k < 3; k++) {
        apply_list(&changes[k], &own[k], &source);
    }
    for (uint32_t round = 1; round <= ROUNDS; round++) {
        change_one_server(&source, cw_mix(7, round));
        source.at += 2;
        uint32_t poller = round % 5 < 2 ? 0 : 1;
        apply_list(&changes[poller], &own[poller], &source);
        if (round % 3) {
            continue; /* the third host misses some lists */
        }
        cw_delta_t delta = {0};
        cw_servers_t next;
        ck_assert(get_delta(&changes[poller], &own[poller], own[2].at, &delta));
        cw_servers_copy(&next, &own[2]);
        ck_assert(cw_delta_apply(&next, &delta));
        ck_assert(cw_servers_equal(&next, &source));
        delta_entries += delta.updated.count + delta.removed.count;
        cw_changes_record(&changes[2], &own[2], &next);
        cw_servers_free(&own[2]);
        own[2] = next;
        cw_delta_free(&delta);
    }
    ck_assert_uint_le(delta_entries / 2, ROUNDS); /* a server that was removed and added again counts twice */
    for (uint32_t k = 0; k < 3; k++) {
        cw_servers_free(&own[k]);
        cw_changes_free(&changes[k]);
    }
    cw_servers_free(&source);
}
END_TEST

/* A host that starts gets the list from a peer, and then another host asks it for the changes since an earlier
   revision. When it had no record of removals before its own first list, it sent the full list instead of a delta: each
   of 584 hosts fetched nine full lists before the first request of a day. */
START_TEST(a_host_sends_deltas_from_before_its_own_first_list) {
    cw_changes_t sender_changes = {0};
    cw_servers_t list = make_list(100);
    list.at = 10;
    cw_changes_record(&sender_changes, &(cw_servers_t){0}, &list);
    cw_servers_t next;
    cw_servers_copy(&next, &list);
    cw_servers_remove(&next, "s007");
    next.at = 20;
    cw_changes_record(&sender_changes, &list, &next);
    size_t size = 0;
    char* bytes = cw_packed_encode(&next, &sender_changes, &size);
    cw_servers_t received = {0};
    cw_changes_t received_changes = {0};
    cw_delta_t delta = {0};
    ck_assert_int_eq(cw_packed_decode(&received, &received_changes, bytes, size, NULL), CW_OK);
    ck_assert(get_delta(&received_changes, &received, 10, &delta));
    ck_assert(cw_delta_apply(&list, &delta));
    ck_assert(cw_servers_equal(&list, &next));
    ck_assert_uint_eq(delta.updated.count + delta.removed.count, 1);
    cw_delta_free(&delta);
    cw_changes_free(&sender_changes);
    cw_changes_free(&received_changes);
    cw_servers_free(&list);
    cw_servers_free(&next);
    cw_servers_free(&received);
    free(bytes);
}
END_TEST

START_TEST(a_delta_that_does_not_fit_the_list_is_refused) {
    cw_changes_t changes = {0};
    cw_servers_t before = make_list(50);
    cw_servers_t after = make_list(52);
    cw_servers_t other = make_list(49);
    cw_delta_t delta = {0};
    before.at = other.at = 5;
    after.at = 7;
    cw_changes_record(&changes, &(cw_servers_t){0}, &before);
    cw_changes_record(&changes, &before, &after);
    ck_assert(!get_delta(&changes, &after, 4, &delta)); /* before the first list */
    ck_assert(!get_delta(&changes, &after, 8, &delta)); /* after the newest one */
    ck_assert(get_delta(&changes, &after, 5, &delta));
    ck_assert(!cw_delta_apply(&other, &delta)); /* the list lacks a server that the delta does not include */
    cw_servers_t older = make_list(50);
    older.at = 4;
    ck_assert(!cw_delta_apply(&older, &delta));
    delta.result_hash++; /* the result does not have the hash of the delta */
    ck_assert(!cw_delta_apply(&before, &delta));
    cw_delta_free(&delta);
    cw_servers_free(&before);
    cw_servers_free(&after);
    cw_servers_free(&other);
    cw_servers_free(&older);
    cw_changes_free(&changes);
}
END_TEST

/* A delta with most of the list would be no shorter than the list. */
START_TEST(there_is_no_delta_for_a_large_change) {
    cw_changes_t changes = {0};
    cw_servers_t small = make_list(50);
    cw_servers_t some = make_list(52);
    cw_servers_t many = make_list(200);
    cw_delta_t delta = {0};
    small.at = 1;
    some.at = 2;
    many.at = 3;
    cw_changes_record(&changes, &(cw_servers_t){0}, &small);
    cw_changes_record(&changes, &small, &some);
    ck_assert(get_delta(&changes, &some, 1, &delta));
    cw_delta_free(&delta);
    cw_changes_record(&changes, &some, &many);
    ck_assert(!get_delta(&changes, &many, 1, &delta));
    ck_assert(!get_delta(&changes, &many, 2, &delta));
    cw_servers_free(&small);
    cw_servers_free(&some);
    cw_servers_free(&many);
    cw_changes_free(&changes);
}
END_TEST

/* The record of removals is limited to a part of the list's size; a peer whose list is older gets the full list. The
   same holds after the source was restored from an older copy: it assigns lower revisions again, which cannot be
   compared with the earlier ones. */
START_TEST(there_is_no_delta_from_old_or_reset_revisions) {
    cw_changes_t changes = {0};
    cw_servers_t list = make_list(500);
    cw_delta_t delta = {0};
    list.at = 1;
    cw_changes_record(&changes, &(cw_servers_t){0}, &list);
    for (uint32_t i = 0; i < 400; i++) {
        cw_servers_t next;
        cw_servers_copy(&next, &list);
        cw_servers_remove(&next, list.items[0].id);
        next.at++;
        cw_changes_record(&changes, &list, &next);
        cw_servers_free(&list);
        list = next;
    }
    ck_assert(!get_delta(&changes, &list, 1, &delta));
    ck_assert(get_delta(&changes, &list, list.at - 10, &delta));
    ck_assert_uint_eq(delta.removed.count, 10);
    cw_delta_free(&delta);
    cw_servers_t copy;
    cw_servers_copy(&copy, &list);
    copy.at = 30;
    cw_changes_record(&changes, &list, &copy);
    ck_assert(!get_delta(&changes, &copy, 20, &delta));
    ck_assert(!get_delta(&changes, &copy, list.at, &delta));
    cw_servers_free(&list);
    cw_servers_free(&copy);
    cw_changes_free(&changes);
}
END_TEST

START_TEST(invalid_deltas_are_refused) {
    static const char* const texts[] = {"",
                                        "{\"since\":",
                                        "{\"since\":1,\"to\":\"2\",\"at\":3,\"gone\":[]}",
                                        "{\"since\":1,\"to\":\"2\",\"at\":3,\"gone\":7,\"servers\":[]}",
                                        "{\"since\":\"1\",\"to\":\"2\",\"at\":3,\"gone\":[],\"servers\":[]}",
                                        "{\"since\":4,\"to\":\"2\",\"at\":3,\"gone\":[],\"servers\":[]}",
                                        "{\"since\":1,\"to\":2,\"at\":3,\"gone\":[],\"servers\":[]}",
                                        "{\"since\":1,\"to\":\"2\",\"at\":3,\"gone\":[],\"servers\":[{\"id\":\"x\"}]}"};
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        cw_delta_t delta = {0};
        cw_error_t err = {0};
        ck_assert_int_eq(cw_delta_from_json(&delta, texts[i], strlen(texts[i]), &err), CW_ERR_INVALID);
        ck_assert_str_eq(err.step, "servers");
        ck_assert_uint_eq(delta.updated.count + delta.removed.count, 0);
    }
    ck_assert(!cw_delta_is_json("{\"at\":1,\"servers\":[]}", 21)); /* a full list */
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_delta_turns_any_earlier_list_into_the_newest);
    tcase_add_test(t, deltas_are_small_between_hosts_without_a_common_list);
    tcase_add_test(t, a_host_sends_deltas_from_before_its_own_first_list);
    tcase_add_test(t, a_delta_that_does_not_fit_the_list_is_refused);
    tcase_add_test(t, there_is_no_delta_for_a_large_change);
    tcase_add_test(t, there_is_no_delta_from_old_or_reset_revisions);
    tcase_add_test(t, invalid_deltas_are_refused);
}

int main(void) {
    return run_suite("changes", add_tests, 30);
}
