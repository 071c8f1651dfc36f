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

static void add_tests(TCase* t) {
    tcase_add_test(t, events_are_returned_complete_for_any_split);
    tcase_add_test(t, a_stream_ends_after_an_event_only_at_its_blank_line);
    tcase_add_test(t, a_stream_resumes_after_a_break_at_any_byte);
}

int main(void) {
    return run_suite("sse", add_tests, 30);
}
