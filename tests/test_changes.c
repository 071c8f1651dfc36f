/* Changes between lists of servers: whoever has an earlier list of the source comes to the newest one by them, and to
   no other. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_packed.h"
#include "test.h"

#define ROUNDS 200

static cw_server_t server(uint32_t number) {
    cw_server_t s = {.address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4};
    snprintf(s.id, sizeof(s.id), "s%03u", number);
    return s;
}

static cw_servers_t list_of(uint32_t count) {
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = server(i);
        cw_servers_put(&list, &s);
    }
    return list;
}

/* A server comes, goes, leaves or becomes cold. */
static void change(cw_servers_t* list, uint64_t random) {
    cw_server_t s = server((uint32_t)(random % 60));
    s.leaving = random / 60 % 3 == 1;
    s.cold_ms = random / 180 % 2 ? 500 : 0;
    list->closed = (cw_closed_t){.at = list->closed.at + 1};
    if (random / 360 % 2) {
        cw_closed_add(&list->closed, "a");
    }
    if (random / 60 % 3 == 2) {
        cw_servers_remove(list, s.id);
    } else {
        cw_servers_put(list, &s);
    }
}

/* What the holder gives, as it comes over the wire; false: nothing. */
static bool fetch(const cw_changes_t* changes, const cw_servers_t* list, int64_t have, cw_delta_t* out) {
    cw_delta_t delta = {0};
    bool known = cw_changes_since(changes, list, have, &delta);
    if (known) {
        char* text = cw_delta_text(&delta);
        ck_assert(cw_delta_is(text, strlen(text)));
        ck_assert_int_eq(cw_delta_read(out, text, strlen(text), NULL), CW_OK);
        free(text);
    }
    cw_delta_free(&delta);
    return known;
}

/* Takes over another list, as a host does with each that it reads. */
static void adopt(cw_changes_t* changes, cw_servers_t* own, const cw_servers_t* list) {
    cw_servers_t next;
    cw_servers_copy(&next, list);
    cw_changes_note(changes, own, &next);
    cw_servers_free(own);
    *own = next;
}

START_TEST(any_earlier_list_becomes_the_newest) {
    static cw_servers_t lists[ROUNDS + 1];
    cw_changes_t changes = {0};
    lists[0] = list_of(50);
    lists[0].at = 1;
    cw_changes_note(&changes, &(cw_servers_t){0}, &lists[0]);
    for (uint32_t round = 1; round <= ROUNDS; round++) {
        cw_servers_copy(&lists[round], &lists[round - 1]);
        for (uint32_t i = 0; i < 1 + round % 4; i++) {
            change(&lists[round], cw_mix(round, i));
        }
        lists[round].at = lists[round - 1].at + 1 + round % 3;
        cw_changes_note(&changes, &lists[round - 1], &lists[round]);
        for (uint32_t had = round > 8 ? round - 8 : 0; had < round; had++) {
            cw_servers_t list = {0};
            cw_delta_t delta = {0};
            cw_servers_copy(&list, &lists[had]);
            if (fetch(&changes, &lists[round], lists[had].at, &delta)) {
                ck_assert(cw_delta_apply(&list, &delta));
                ck_assert(cw_servers_equal(&list, &lists[round]));
            } else {
                ck_assert_uint_gt(round - had, 3); /* over a quarter of it changed */
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

/* Two hosts read the source at different moments, and a third one hears from either in turn. Where changes led only
   from one list that the holder had had to its next one, nobody had had the other's lists: every host of a fleet with
   two readers fetched whole lists, 1.1 MB of 6,003 servers, several times in a day of 45 s. Pattern: a source that
   several hosts read while a quarter of its servers is replaced. */
START_TEST(hosts_that_took_different_steps_tell_each_other_little) {
    cw_changes_t changes[3];
    memset(changes, 0, sizeof(changes));
    cw_servers_t own[3];
    memset(own, 0, sizeof(own));
    cw_servers_t source = list_of(400);
    uint32_t told = 0;
    source.at = 10;
    for (uint32_t k = 0; k < 3; k++) {
        adopt(&changes[k], &own[k], &source);
    }
    for (uint32_t round = 1; round <= ROUNDS; round++) {
        change(&source, cw_mix(7, round));
        source.at += 2;
        uint32_t reader = round % 5 < 2 ? 0 : 1;
        adopt(&changes[reader], &own[reader], &source);
        if (round % 3) {
            continue; /* the third host jumps over some */
        }
        cw_delta_t delta = {0};
        cw_servers_t next;
        ck_assert(fetch(&changes[reader], &own[reader], own[2].at, &delta));
        cw_servers_copy(&next, &own[2]);
        ck_assert(cw_delta_apply(&next, &delta));
        ck_assert(cw_servers_equal(&next, &source));
        told += delta.put.count + delta.gone.count;
        cw_changes_note(&changes[2], &own[2], &next);
        cw_servers_free(&own[2]);
        own[2] = next;
        cw_delta_free(&delta);
    }
    ck_assert_uint_le(told / 2, ROUNDS); /* a server that went and came back counts as both */
    for (uint32_t k = 0; k < 3; k++) {
        cw_servers_free(&own[k]);
        cw_changes_free(&changes[k]);
    }
    cw_servers_free(&source);
}
END_TEST

/* A host that starts takes the list over from a peer, and another one asks it for changes since before. It remembered
   nothing from before its own first list, so it gave that one the whole list: nine for each of 584 hosts before the
   first request of a day. */
START_TEST(a_host_that_took_a_list_over_tells_changes_from_before_it) {
    cw_changes_t holder = {0};
    cw_servers_t list = list_of(100);
    list.at = 10;
    cw_changes_note(&holder, &(cw_servers_t){0}, &list);
    cw_servers_t next;
    cw_servers_copy(&next, &list);
    cw_servers_remove(&next, "s007");
    next.at = 20;
    cw_changes_note(&holder, &list, &next);
    size_t size = 0;
    char* bytes = cw_packed_write(&next, &holder, &size);
    cw_servers_t taken = {0};
    cw_changes_t learned = {0};
    cw_delta_t delta = {0};
    ck_assert_int_eq(cw_packed_read(&taken, &learned, bytes, size, NULL), CW_OK);
    ck_assert(fetch(&learned, &taken, 10, &delta));
    ck_assert(cw_delta_apply(&list, &delta));
    ck_assert(cw_servers_equal(&list, &next));
    ck_assert_uint_eq(delta.put.count + delta.gone.count, 1);
    cw_delta_free(&delta);
    cw_changes_free(&holder);
    cw_changes_free(&learned);
    cw_servers_free(&list);
    cw_servers_free(&next);
    cw_servers_free(&taken);
    free(bytes);
}
END_TEST

START_TEST(another_list_is_not_changed_into_a_wrong_one) {
    cw_changes_t changes = {0};
    cw_servers_t before = list_of(50);
    cw_servers_t after = list_of(52);
    cw_servers_t other = list_of(49);
    cw_delta_t delta = {0};
    before.at = other.at = 5;
    after.at = 7;
    cw_changes_note(&changes, &(cw_servers_t){0}, &before);
    cw_changes_note(&changes, &before, &after);
    ck_assert(!fetch(&changes, &after, 4, &delta)); /* from before the first list */
    ck_assert(!fetch(&changes, &after, 8, &delta)); /* after the newest one */
    ck_assert(fetch(&changes, &after, 5, &delta));
    ck_assert(!cw_delta_apply(&other, &delta)); /* lacks a server that didn't change */
    cw_servers_t older = list_of(50);
    older.at = 4;
    ck_assert(!cw_delta_apply(&older, &delta));
    delta.to++; /* the list that comes out is not the one that was meant */
    ck_assert(!cw_delta_apply(&before, &delta));
    cw_delta_free(&delta);
    cw_servers_free(&before);
    cw_servers_free(&after);
    cw_servers_free(&other);
    cw_servers_free(&older);
    cw_changes_free(&changes);
}
END_TEST

/* A change of most of the list is no shorter than the list. */
START_TEST(a_large_change_is_told_as_the_whole_list) {
    cw_changes_t changes = {0};
    cw_servers_t small = list_of(50);
    cw_servers_t some = list_of(52);
    cw_servers_t many = list_of(200);
    cw_delta_t delta = {0};
    small.at = 1;
    some.at = 2;
    many.at = 3;
    cw_changes_note(&changes, &(cw_servers_t){0}, &small);
    cw_changes_note(&changes, &small, &some);
    ck_assert(fetch(&changes, &some, 1, &delta));
    cw_delta_free(&delta);
    cw_changes_note(&changes, &some, &many);
    ck_assert(!fetch(&changes, &many, 1, &delta));
    ck_assert(!fetch(&changes, &many, 2, &delta));
    cw_servers_free(&small);
    cw_servers_free(&some);
    cw_servers_free(&many);
    cw_changes_free(&changes);
}
END_TEST

/* What went is remembered for as long as it takes a part of the list; a peer whose list is older reads the whole one.
   The source came back from an older copy: its numbers say nothing of what was before. */
START_TEST(what_went_long_ago_and_numbers_that_went_back_are_told_by_the_whole_list) {
    cw_changes_t changes = {0};
    cw_servers_t list = list_of(500);
    cw_delta_t delta = {0};
    list.at = 1;
    cw_changes_note(&changes, &(cw_servers_t){0}, &list);
    for (uint32_t i = 0; i < 400; i++) {
        cw_servers_t next;
        cw_servers_copy(&next, &list);
        cw_servers_remove(&next, list.items[0].id);
        next.at++;
        cw_changes_note(&changes, &list, &next);
        cw_servers_free(&list);
        list = next;
    }
    ck_assert(!fetch(&changes, &list, 1, &delta));
    ck_assert(fetch(&changes, &list, list.at - 10, &delta));
    ck_assert_uint_eq(delta.gone.count, 10);
    cw_delta_free(&delta);
    cw_servers_t copy;
    cw_servers_copy(&copy, &list);
    copy.at = 30;
    cw_changes_note(&changes, &list, &copy);
    ck_assert(!fetch(&changes, &copy, 20, &delta));
    ck_assert(!fetch(&changes, &copy, list.at, &delta));
    cw_servers_free(&list);
    cw_servers_free(&copy);
    cw_changes_free(&changes);
}
END_TEST

START_TEST(nonsense_is_refused) {
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
        ck_assert_int_eq(cw_delta_read(&delta, texts[i], strlen(texts[i]), &err), CW_ERR_INVALID);
        ck_assert_str_eq(err.step, "servers");
        ck_assert_uint_eq(delta.put.count + delta.gone.count, 0);
    }
    ck_assert(!cw_delta_is("{\"at\":1,\"servers\":[]}", 21)); /* a whole list */
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, any_earlier_list_becomes_the_newest);
    tcase_add_test(t, hosts_that_took_different_steps_tell_each_other_little);
    tcase_add_test(t, a_host_that_took_a_list_over_tells_changes_from_before_it);
    tcase_add_test(t, another_list_is_not_changed_into_a_wrong_one);
    tcase_add_test(t, a_large_change_is_told_as_the_whole_list);
    tcase_add_test(t, what_went_long_ago_and_numbers_that_went_back_are_told_by_the_whole_list);
    tcase_add_test(t, nonsense_is_refused);
}

int main(void) {
    return run_suite("changes", add, 30);
}
