"""Print the page of models."""

from ebonyhold.models._page import render_page

if __name__ == "__main__":
    print(render_page(), end="")
