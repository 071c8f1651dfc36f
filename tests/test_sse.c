/* Events of a stream: complete ones for any split, the end of a stream, and resumption. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_sse.h"
#include "test.h"

static void append_all_events(cw_sse_t* e, char* out) {
    for (cw_bytes_view_t v = cw_sse_take(e); v.size; v = cw_sse_take(e)) {
        strncat(out, v.data, v.size);
    }
}

START_TEST(events_are_returned_complete_for_any_split) {
    static const char stream[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 3\ndata: c\n\n";
    for (size_t cut = 1; cut < sizeof(stream) - 1; cut++) {
        char out[256] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, stream, cut);
        append_all_events(&e, out);
        ck_assert(out[0] == 0 || strcmp(out + strlen(out) - 2, "\n\n") == 0);
        cw_sse_feed(&e, stream + cut, sizeof(stream) - 1 - cut);
        append_all_events(&e, out);
        ck_assert_str_eq(out, stream);
        ck_assert_str_eq(e.last_id, "3");
        ck_assert(cw_sse_ends_after_event(&e) && cw_sse_take_rest(&e).size == 0);
        cw_sse_free(&e);
    }
}
END_TEST

/* Lines end with LF, CRLF or CR; of a CRLF cut in the middle, the LF is missing. */
START_TEST(a_stream_ends_after_an_event_only_at_its_blank_line) {
    static const char* const line_ends[] = {"\n", "\r\n", "\r"};
    for (size_t l = 0; l < 3; l++) {
        char text[100];
        size_t blank[2];
        int size = snprintf(text, sizeof(text), "id: 1%sdata: a%s%s", line_ends[l], line_ends[l], line_ends[l]);
        blank[0] = (size_t)size;
        size += snprintf(text + size, sizeof(text) - (size_t)size, "id: 2%sdata: b%s%s", line_ends[l], line_ends[l],
                         line_ends[l]);
        blank[1] = (size_t)size;
        cw_sse_t e = {0};
        for (size_t i = 1; i <= (size_t)size; i++) {
            cw_sse_track(&e, text + i - 1, 1);
            ck_assert_msg(cw_sse_ends_after_event(&e) == (i == blank[0] || i == blank[1]), "line end %zu, byte %zu", l,
                          i);
        }
        ck_assert_uint_eq(e.scan.count, 2);
        cw_sse_free(&e);
    }
}
END_TEST

START_TEST(a_stream_resumes_after_a_break_at_any_byte) {
    static const char stream[] = "id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: 10\ndata: c\n\n";
    for (size_t cut = 0; cut < sizeof(stream) - 1; cut++) {
        char out[256] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, stream, cut);
        append_all_events(&e, out);
        cw_sse_restart(&e);
        cw_sse_feed(&e, stream, sizeof(stream) - 1); /* the other server sends all events again */
        append_all_events(&e, out);
        ck_assert_str_eq(out, stream);
        cw_sse_free(&e);
    }
}
END_TEST

/* The same for each line end, with comments, times between retries and ids in the middle of events. Whether the other
   server begins after the last event returned, at it, or anew, each event is returned once. */
START_TEST(a_stream_resumes_after_a_break_at_any_byte_whatever_its_lines) {
    static const char* const line_ends[] = {"\n", "\r\n", "\r"};
    static const char* const events[] = {"data: a@id: 8@@", "id: 9@data: b@data: c@@", "event: x@id:10@data@@",
                                         "id: 3@id: 11@data: d@@"};
    enum { EVENTS = sizeof(events) / sizeof(events[0]) };
    for (size_t l = 0; l < 3; l++) {
        char texts[EVENTS][100];
        char whole[400] = "";
        for (size_t i = 0; i < EVENTS; i++) {
            texts[i][0] = 0;
            for (const char* c = events[i]; *c; c++) {
                size_t size = strlen(texts[i]);
                snprintf(texts[i] + size, sizeof(texts[i]) - size, "%.*s", *c == '@' ? 2 : 1,
                         *c == '@' ? line_ends[l] : c);
            }
            strncat(whole, texts[i], sizeof(whole) - strlen(whole) - 1);
        }
        for (size_t cut = 0; cut <= strlen(whole); cut++) {
            for (size_t from = 0; from <= EVENTS; from++) {
                char out[1000] = "";
                cw_sse_t e = {0};
                cw_sse_feed(&e, whole, cut);
                append_all_events(&e, out);
                if (from > e.count) {
                    cw_sse_free(&e);
                    continue; /* the other server would leave events out */
                }
                cw_sse_restart(&e);
                for (size_t i = from; i < EVENTS; i++) {
                    cw_sse_feed(&e, texts[i], 1);
                    append_all_events(&e, out);
                    cw_sse_feed(&e, texts[i] + 1, strlen(texts[i]) - 1);
                    append_all_events(&e, out);
                }
                ck_assert(!cw_sse_is_behind(&e) && cw_sse_take_rest(&e).size == 0);
                ck_assert_msg(strcmp(out, whole) == 0, "line end %zu, cut at %zu, again from %zu: %s", l, cut, from,
                              out);
                cw_sse_free(&e);
            }
        }
    }
}
END_TEST

/* Two streams of one answer: what the second server sends after the first one broke off. */
typedef struct join_t {
    const char *first, *second, *expected;
} join_t;

static void expect_join(const join_t* join) {
    for (size_t cut = 0; cut <= strlen(join->second); cut++) {
        char out[512] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, join->first, strlen(join->first));
        append_all_events(&e, out);
        cw_sse_restart(&e);
        cw_sse_feed(&e, join->second, cut);
        append_all_events(&e, out);
        cw_sse_feed(&e, join->second + cut, strlen(join->second) - cut);
        append_all_events(&e, out);
        ck_assert_msg(strcmp(out, join->expected) == 0, "after '%s' came '%s': '%s'", join->first, join->second, out);
        cw_sse_free(&e);
    }
}

/* Events that a second server sent were taken for repeats and dropped, and the stream ended as complete: ids that are
   no numbers were all compared as 0, and those beyond 64 bits as the largest number. A server that repeats events with
   such ids is told by the last id, or by the first one. */
START_TEST(ids_of_any_kind_join_a_resumed_stream) {
    static const join_t joins[] = {
        {"id: a1\nd\n\nid: a2\nd\n\n", "id: b7\nd\n\n", "id: a1\nd\n\nid: a2\nd\n\nid: b7\nd\n\n"},
        {"id: a1\nd\n\nid: a2\nd\n\n", "id: a2\nd\n\nid: 0\nd\n\n", "id: a1\nd\n\nid: a2\nd\n\nid: 0\nd\n\n"},
        {"id: x\nd\n\nid: c\nd\n\nid: m\nd\n\n", "id: x\nd\n\nid: c\nd\n\nid: m\nd\n\nid: k\nd\n\n",
         "id: x\nd\n\nid: c\nd\n\nid: m\nd\n\nid: k\nd\n\n"},
        {"id: 1", "id: a\nd\n\nid: b\nd\n\nid: a\nd\n\n", "id: a\nd\n\nid: b\nd\n\nid: a\nd\n\n"},
        {"id: 9\nd\n\n", "id: end\nd\n\n", "id: 9\nd\n\nid: end\nd\n\n"},
        {"id: 18446744073709551616\nd\n\n", "id: 18446744073709551616\nd\n\nid: 18446744073709551617\nd\n\n",
         "id: 18446744073709551616\nd\n\nid: 18446744073709551617\nd\n\n"},
        {"id: 99999999999999999999\nd\n\n", "id: 100000000000000000000\nd\n\n",
         "id: 99999999999999999999\nd\n\nid: 100000000000000000000\nd\n\n"},
        {"id: 008\nd\n\nid: 009\nd\n\n", "id: 9\nd\n\nid: 010\nd\n\n", "id: 008\nd\n\nid: 009\nd\n\nid: 010\nd\n\n"},
        {"id: 8\nd\n\nid: 9\nd\n\n", "id: 8\nd\n\nid: 9\nd\n\nid: 10\nd\n\n", "id: 8\nd\n\nid: 9\nd\n\nid: 10\nd\n\n"}};
    for (size_t i = 0; i < sizeof(joins) / sizeof(joins[0]); i++) {
        expect_join(&joins[i]);
    }
}
END_TEST

/* Events that a second server sent were dropped, since their ids were lower than the last one, although the ids of this
   stream had not risen before either: numbers without an order are ids like any other text. */
START_TEST(numbers_that_do_not_rise_have_no_order) {
    static const join_t joins[] = {
        {"id: 50\nd\n\nid: 12\nd\n\n", "id: 7\nd\n\nid: 99\nd\n\n",
         "id: 50\nd\n\nid: 12\nd\n\nid: 7\nd\n\nid: 99\nd\n\n"},
        {"id: 50\nd\n\nid: 12\nd\n\n", "id: 50\nd\n\nid: 12\nd\n\nid: 7\nd\n\n",
         "id: 50\nd\n\nid: 12\nd\n\nid: 7\nd\n\n"},
        {"id: 50\nd\n\nid: 12\nd\n\n", "id: 12\nd\n\nid: 7\nd\n\n", "id: 50\nd\n\nid: 12\nd\n\nid: 7\nd\n\n"}};
    for (size_t i = 0; i < sizeof(joins) / sizeof(joins[0]); i++) {
        expect_join(&joins[i]);
    }
}
END_TEST

/* An id that changes within an event is that of its last line. The first one was taken, so a stream resumed one event
   too early. */
START_TEST(the_last_id_line_of_an_event_counts) {
    static const char* const events[] = {"id: 1\nid: 2\ndata: a\n\n", "id:1\r\ndata: a\r\nid:2\r\n\r\n",
                                         "id: 1\rid: 2\rdata: a\r\r"};
    for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
        char out[100] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, events[i], strlen(events[i]));
        append_all_events(&e, out);
        ck_assert_str_eq(e.last_id, "2");
        cw_sse_free(&e);
    }
}
END_TEST

/* An event without an id was passed on twice where the second server began with the first event: nothing shows its
   place but the ids around it. Comments are no pieces of a stream, so they pass at once. */
START_TEST(events_without_an_id_are_placed_by_the_ids_around_them) {
    static const join_t joins[] = {{"id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n",
                                    "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n",
                                    "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n"},
                                   {"data: role\n\nid: x\ndata: a\n\n",
                                    "data: role\n\nid: x\ndata: a\n\ndata: b\n\nid: c\ndata: c\n\n",
                                    "data: role\n\nid: x\ndata: a\n\ndata: b\n\nid: c\ndata: c\n\n"},
                                   {"id: 1\ndata: a\n\n", "data: b\n\n: note\n\nid: 2\ndata: c\n\n",
                                    "id: 1\ndata: a\n\ndata: b\n\n: note\n\nid: 2\ndata: c\n\n"}};
    for (size_t i = 0; i < sizeof(joins) / sizeof(joins[0]); i++) {
        expect_join(&joins[i]);
    }
    expect_join(&(join_t){"id: 1\ndata: a\n\n", ": note\n\n", "id: 1\ndata: a\n\n: note\n\n"});
}
END_TEST

START_TEST(a_stream_cannot_be_resumed_after_an_event_without_an_id) {
    static const struct {
        const char* text;
        bool can_resume;
    } streams[] = {{"", true},
                   {": note\n\nretry: 10\n\n", true},
                   {"id: 1\ndata: a\n\n", true},
                   {"id: 1\ndata: a\n\n: note\n\n", true},
                   {"data: a\n\n", false},
                   {"id: 1\ndata: a\n\ndata: b\n\n", false},
                   {"id: 1\ndata: a\n\ndata\n\n", false},
                   {"id: 1\ndata: a\n\nid:\ndata: b\n\n", false},
                   {"id: 1\ndata: a\n\nid\ndata: b\n\n", false},
                   {"id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n", true},
                   {"id: 1\ndata: a\n\ndata: b\n", true}};
    for (size_t i = 0; i < sizeof(streams) / sizeof(streams[0]); i++) {
        char out[100] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, streams[i].text, strlen(streams[i].text));
        append_all_events(&e, out);
        ck_assert_msg(cw_sse_can_resume(&e) == streams[i].can_resume, "'%s'", streams[i].text);
        cw_sse_restart(&e);
        ck_assert(cw_sse_can_resume(&e) == streams[i].can_resume);
        cw_sse_free(&e);
    }
}
END_TEST

/* The other server was asked to go on after another event: ids were cut off at 47 bytes and at a NUL. What no header
   field can carry names no place. */
START_TEST(an_id_is_kept_whole_or_not_at_all) {
    static const char nul[] = "id: 1\ndata: a\n\nid: 2\0x\ndata: b\n\n";
    static const char control[] = "id: 1\ndata: a\n\nid: 2\001x\ndata: b\n\n";
    static const char spaces[] = "id: 1\ndata: a\n\nid:  2 \t\ndata: b\n\n";
    const struct {
        const char* text;
        size_t size;
        const char* last_id;
        bool can_resume;
    } streams[] = {{nul, sizeof(nul) - 1, "1", false},
                   {control, sizeof(control) - 1, "1", false},
                   {spaces, sizeof(spaces) - 1, "2", true}};
    for (size_t i = 0; i < sizeof(streams) / sizeof(streams[0]); i++) {
        char out[100] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, streams[i].text, streams[i].size);
        append_all_events(&e, out);
        ck_assert_str_eq(e.last_id, streams[i].last_id);
        ck_assert_msg(cw_sse_can_resume(&e) == streams[i].can_resume, "stream %zu", i);
        cw_sse_free(&e);
    }
    for (size_t length = 1; length < (size_t)2 * CW_SSE_ID_MAX; length++) {
        char text[2 * CW_SSE_ID_MAX + 40];
        char id[2 * CW_SSE_ID_MAX];
        char out[sizeof(text)] = "";
        memset(id, 'x', length);
        id[length] = 0;
        snprintf(text, sizeof(text), "id: %s\ndata: a\n\n", id);
        cw_sse_t e = {0};
        cw_sse_feed(&e, text, strlen(text));
        append_all_events(&e, out);
        ck_assert_str_eq(out, text);
        ck_assert_msg(strcmp(e.last_id, id) == 0 || !cw_sse_can_resume(&e), "%zu bytes became %zu", length,
                      strlen(e.last_id));
        cw_sse_free(&e);
    }
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, events_are_returned_complete_for_any_split);
    tcase_add_test(t, a_stream_ends_after_an_event_only_at_its_blank_line);
    tcase_add_test(t, a_stream_resumes_after_a_break_at_any_byte);
    tcase_add_test(t, a_stream_resumes_after_a_break_at_any_byte_whatever_its_lines);
    tcase_add_test(t, ids_of_any_kind_join_a_resumed_stream);
    tcase_add_test(t, numbers_that_do_not_rise_have_no_order);
    tcase_add_test(t, the_last_id_line_of_an_event_counts);
    tcase_add_test(t, an_id_is_kept_whole_or_not_at_all);
    tcase_add_test(t, events_without_an_id_are_placed_by_the_ids_around_them);
    tcase_add_test(t, a_stream_cannot_be_resumed_after_an_event_without_an_id);
}

int main(void) {
    return run_suite("sse", add_tests, 30);
}
