"""Tests of the settings templates' language as fleet.py renders it."""

import unittest

import fleet

FIELDS = {
    "list": ["x", "y"], "empty": [], "table": {"p": 1, "q": {"n": 2}}, "true": True,
    "false": False, "null": None, "zero": 0, "text": "t", "a": 9,
    "entries": [{"a": 1}, {"a": 2}], "left_out": fleet.ABSENT,
}


def render(text, fields=None):
    return fleet.render_text("some.json", text, FIELDS if fields is None else fields)


class RenderTest(unittest.TestCase):
    def test_placeholders(self):
        for text, expected in [
                ("{{a}}", "9"), ("{{list}}", "x,y"), ("{{list.1}}", "y"), ("{{true}}", "true"),
                ("{{table.q.n}}", "2"), ("{{table.q}}", '{"n": 2}'), ("{{text|json}}", '"t"'),
                ("{{null}}", ""), ("{{null|json}}", "null"), ("{{left_out.address}}", "")]:
            self.assertEqual(render(text), expected, text)
        self.assertEqual(render("{{.|json}}", {"a": [1], "b": fleet.ABSENT}),
                         '{"a": [1], "b": null}')

    def test_sections(self):
        for text, expected in [
                ("{{#list}}{{@}}={{.}}{{,}}{{/list}}", "0=x,1=y"),
                ("{{#table}}{{@}}:{{.|json}}{{,}}{{/table}}", 'p:1,q:{"n": 2}'),
                ("{{#entries}}{{a}}{{zero}}{{,}}{{/entries}}", "10,20"),
                ("{{#true}}{{a}}{{/true}}", "9"), ("{{#zero}}{{.}}{{/zero}}", "0"),
                ("{{#text}}{{.}}{{/text}}", "t"), ("{{#empty}}x{{/empty}}", ""),
                ("{{#false}}x{{/false}}", ""), ("{{#null}}x{{/null}}", ""),
                ("{{#list}}{{#entries}}{{a}}{{/entries}};{{/list}}", "12;12;"),
                ("{{#left_out.address}}{{left_out.other}}{{/left_out.address}}", "")]:
            self.assertEqual(render(text), expected, text)

    def test_inverted_sections(self):
        for name in ["false", "null", "left_out", "left_out.address"]:
            self.assertEqual(render(f"{{{{^{name}}}}}x{{{{/{name}}}}}"), "x", name)
        for name in ["true", "zero", "text", "list", "table"]:
            self.assertEqual(render(f"{{{{^{name}}}}}x{{{{/{name}}}}}"), "", name)

    # Guards against a field that the stand-in lacks and renders as empty text.
    def test_unknown_field_is_an_error(self):
        for text, field in [("{{b}}", "b"), ("{{table.b}}", "table.b"), ("{{list.2}}", "list.2"),
                            ("{{b|json}}", "b"), ("{{#b}}{{/b}}", "b"), ("{{^b}}{{/b}}", "b")]:
            with self.assertRaisesRegex(fleet.CannotRun, f"^some.json: .* the field {field}$"):
                render(text)

    def test_malformed_template_is_an_error(self):
        for text in ["{{#list}}", "{{/list}}", "{{#list}}{{/text}}", "{{a|xml}}", "{{@}}"]:
            with self.assertRaisesRegex(fleet.CannotRun, "^some.json: "):
                render(text)


if __name__ == "__main__":
    unittest.main()
